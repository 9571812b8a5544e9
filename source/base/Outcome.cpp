#include "base/Outcome.h"

namespace Wagtail
{

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    for (const Outcome outcome : {Outcome::Done, Outcome::NotRun, Outcome::Unknown}) {
        if (nameOf(outcome) == name) {
            return outcome;
        }
    }
    return std::nullopt;
}

}
