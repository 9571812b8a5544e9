#pragma once

#include <algorithm>

namespace Wagtail
{

// Limits retries to a fixed share of the requests, so that they can't multiply the load of an overloaded service. Each
// request deposits a fraction of a token and each retry withdraws a whole one.
class RetryBudget
{
public:
    void deposit()
    {
        m_tokens = std::min(MaximumTokens, m_tokens + TokensPerRequest);
    }

    // Withdraws the token for one retry. Returns false when less than one token is left.
    [[nodiscard]] bool tryWithdraw()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double TokensPerRequest = 0.1;
    static constexpr double MaximumTokens = 20.0;

    double m_tokens = MaximumTokens;
};

}
