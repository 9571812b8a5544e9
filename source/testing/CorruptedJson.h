#pragma once

#include "base/JsonReader.h"

#include <rapidcheck.h>

namespace Wagtail
{

// Returns a value of any type, as a faulty writer may leave it.
inline Json arbitraryValue()
{
    const std::vector<Json> values {nullptr, true, -1, 0, 1e300, -1e300, 18'446'744'073'709'551'615ULL, "", "text", "7",
        Json::array(), Json::array({1, "a", nullptr}), Json::array({Json::array()}), Json::object(), {{"a", 1}},
        {{"0", Json::array()}}};
    return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

// Replaces, removes or adds something at a random place of a document.
inline void corrupt(Json &document)
{
    const bool goesDeeper = document.is_structured() && !document.empty() && *rc::gen::inRange(0, 4) > 0;
    if (!goesDeeper) {
        document = arbitraryValue();
        return;
    }
    auto member = document.begin();
    std::advance(member, *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(document.size())));
    if (*rc::gen::inRange(0, 6) == 0) {
        document.erase(member);
        return;
    }
    corrupt(*member);
}

// Returns the text of a document with some faults in it; sometimes it is cut off.
inline std::string corruptedText(Json document)
{
    const int faults = *rc::gen::inRange(1, 4);
    for (int i = 0; i < faults; ++i) {
        corrupt(document);
    }
    const std::string text = writeJson(document);
    const bool cutOff = *rc::gen::inRange(0, 8) == 0;
    return cutOff ? text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1)) : text;
}

}
