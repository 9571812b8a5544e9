#pragma once

#include <random>
#include <string>
#include <string_view>

namespace Wagtail
{

// The beginning of an HTTP answer whose connection ends too early.
struct PartialAnswer
{
    std::string text;
    bool endsWithinHead = false;
};

// Returns the beginning of an answer, cut within its head or its body at random. Half of the answers that are cut
// within their body are rewritten to a chunked one first. Data that begins no answer counts as a part of a body.
PartialAnswer cutAnswer(std::string_view answer, std::mt19937_64 &random);

}
