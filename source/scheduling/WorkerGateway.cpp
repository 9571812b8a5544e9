#include "scheduling/WorkerGateway.h"

namespace Wagtail
{

std::string_view nameOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::Expired:
        return "expired";
    case OrderOutcome::NoRoom:
        return "no-room";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::OtherIncarnation:
        return "other-incarnation";
    case OrderOutcome::TicketRefused:
        return "ticket-refused";
    case OrderOutcome::Malformed:
        return "malformed";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string_view nameOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lease-expired";
    case RunEnd::GangBroken:
        return "gang-broken";
    case RunEnd::GangIncomplete:
        break;
    }
    return "gang-incomplete";
}

}
