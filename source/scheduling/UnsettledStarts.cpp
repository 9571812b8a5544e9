#include "scheduling/UnsettledStarts.h"

#include <algorithm>

namespace Wagtail
{

void UnsettledStarts::sent()
{
    ++m_unanswered;
}

void UnsettledStarts::answered(AnsweringIncarnation incarnation, Instant now, Instant leaseExpiresAt)
{
    m_unanswered = std::max(0, m_unanswered - 1);
    if (incarnation == AnsweringIncarnation::Known) {
        return;
    }
    m_unclearSince = now;
    m_leaseExpiresAt = std::max(m_leaseExpiresAt, leaseExpiresAt);
}

void UnsettledStarts::confirmIncarnation(Instant requestedAt)
{
    if (m_unclearSince && requestedAt >= *m_unclearSince) {
        m_unclearSince.reset();
    }
}

bool UnsettledStarts::isEmpty() const
{
    return m_unanswered == 0 && !m_unclearSince;
}

bool UnsettledStarts::isUnclear() const
{
    return m_unclearSince.has_value();
}

std::optional<Instant> UnsettledStarts::leaseExpiry() const
{
    return m_unclearSince ? std::optional(m_leaseExpiresAt) : std::nullopt;
}

}
