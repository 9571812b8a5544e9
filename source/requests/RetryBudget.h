#pragma once

#include <algorithm>

namespace Wagtail
{

// Lets retries make up only a fixed share of the load: each request earns a part of a retry, each retry spends one.
class RetryBudget
{
public:
    void earn()
    {
        m_tokens = std::min(LargestBalance, m_tokens + EarnedPerRequest);
    }

    // Takes one retry from the budget; returns false when there is none left.
    [[nodiscard]] bool spend()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double EarnedPerRequest = 0.1;
    static constexpr double LargestBalance = 20.0;

    double m_tokens = LargestBalance;
};

}
