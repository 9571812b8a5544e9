#include "base/Outcome.h"

#include "base/NameTable.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<Outcome, 3> Names {{{
    {Outcome::Done, "done"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}}};

}

std::string_view nameOf(Outcome outcome)
{
    return Names.nameOf(outcome);
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    return Names.find(name);
}

}
