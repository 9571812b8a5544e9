#pragma once

#include "scheduling/PlacementAdvisor.h"
#include "testing/ManualScheduler.h"

#include <set>

namespace Wagtail
{

// An advisor that allows some workers, takes its time for each and can be out of reach.
class FakeAdvisor final : public PlacementAdvisor
{
public:
    explicit FakeAdvisor(ManualScheduler &scheduler) : m_scheduler(scheduler)
    {
    }

    std::set<std::string> suitable;
    bool away = false;
    int calls = 0;
    int openCalls = 0;
    int mostOpenCalls = 0;

    void ask(const StepName &, const std::vector<std::string> &workers, Handler handler) override
    {
        ++calls;
        mostOpenCalls = std::max(mostOpenCalls, ++openCalls);
        m_scheduler.after(PerWorker * static_cast<int>(workers.size()), [this, workers, handler = std::move(handler)] {
            --openCalls;
            if (away) {
                handler(AdviceFailure::Unanswered);
                return;
            }
            PlacementAdvice advice;
            advice.validity = Milliseconds(1'000);
            for (const std::string &worker : workers) {
                if (suitable.contains(worker)) {
                    advice.suitable.push_back({worker, "ticket of " + worker});
                }
            }
            handler(advice);
        });
    }

private:
    static constexpr Milliseconds PerWorker {5};

    ManualScheduler &m_scheduler;
};

}
