#pragma once

#include "StandinWorker.h"
#include "http/HttpClient.h"
#include "testing/ManualScheduler.h"

#include <map>
#include <memory>
#include <set>

namespace Wagtail
{

// The stand-in workers of a test, found by their address, however often they begin anew.
class WorkerSite
{
public:
    WorkerSite(ManualClock &clock, ManualScheduler &scheduler) : m_clock(clock), m_scheduler(scheduler)
    {
    }

    // Starts a worker at its address; one that ran there before is gone with its tasks.
    void start(const WorkerDescription &description)
    {
        const auto schedule = [this](Milliseconds delay, std::function<void()> action) {
            m_scheduler.after(delay, std::move(action));
        };
        auto &place = m_workers[description.address];
        if (place) {
            place->die();
            m_past.push_back(place);
        }
        place = std::make_shared<StandinWorker>(m_clock, schedule, description);
    }

    [[nodiscard]] std::shared_ptr<StandinWorker> find(const std::string &address) const
    {
        const auto found = m_workers.find(address);
        return found == m_workers.end() ? nullptr : found->second;
    }

    void advance()
    {
        for (const auto &[address, worker] : m_workers) {
            worker->advance();
        }
    }

    // Returns all workers that ever ran.
    [[nodiscard]] std::vector<std::shared_ptr<StandinWorker>> all() const
    {
        std::vector<std::shared_ptr<StandinWorker>> result = m_past;
        for (const auto &[address, worker] : m_workers) {
            result.push_back(worker);
        }
        return result;
    }

private:
    ManualClock &m_clock;
    ManualScheduler &m_scheduler;
    std::map<std::string, std::shared_ptr<StandinWorker>> m_workers;
    std::vector<std::shared_ptr<StandinWorker>> m_past;
};

// The way from one instance to the workers: it can be cut, delay calls, and lose answers.
class FaultyNetwork final : public HttpClient
{
public:
    FaultyNetwork(WorkerSite &site, Scheduler &scheduler) : m_site(site), m_scheduler(scheduler)
    {
    }

    std::set<std::string> cut;
    int loseAnswers = 0;
    int delayCalls = 0;
    // Calls of these paths take so long to arrive.
    std::map<std::string, Milliseconds> slowPaths;

    void send(HttpCall call, Handler handler) override
    {
        constexpr std::string_view Scheme = "http://";
        const std::string rest = call.url.substr(Scheme.size());
        const std::size_t slash = rest.find('/');
        const std::string address = rest.substr(0, slash);
        const auto exchange = std::make_shared<Exchange>(Exchange {std::move(handler), false});
        if (cut.contains(address)) {
            m_scheduler.after(Milliseconds(1), [exchange] { exchange->finish(Delivery::NotSent, {}); });
            return;
        }
        HttpRequest request;
        request.method = call.method;
        request.path = rest.substr(slash);
        request.headers = call.headers;
        request.body = call.body;
        const bool late = delayCalls > 0;
        const bool lost = loseAnswers > 0;
        delayCalls -= late ? 1 : 0;
        loseAnswers -= lost ? 1 : 0;
        // A delayed call reaches the worker long after its sender has given it up.
        const auto slow = slowPaths.find(request.path);
        const Milliseconds way = slow != slowPaths.end() ? slow->second : late ? Milliseconds(2'500) : Milliseconds(1);
        m_scheduler.after(way, [this, address, request = std::move(request), exchange, lost] {
            const auto worker = m_site.find(address);
            if (!worker) {
                exchange->finish(Delivery::NotSent, {});
                return;
            }
            worker->handle(request, [this, exchange, lost](HttpResponse response) {
                m_scheduler.after(Milliseconds(1), [exchange, lost, response = std::move(response)] {
                    exchange->finish(lost ? Delivery::Lost : Delivery::Answered, response);
                });
            });
        });
        m_scheduler.after(Milliseconds(call.timeoutMilliseconds), [exchange] { exchange->finish(Delivery::Lost, {}); });
    }

private:
    struct Exchange
    {
        Handler handler;
        bool finished = false;

        void finish(Delivery delivery, const HttpResponse &response)
        {
            if (finished) {
                return;
            }
            finished = true;
            handler({delivery, response.status, response.headers, response.body, "fault"});
        }
    };

    WorkerSite &m_site;
    Scheduler &m_scheduler;
};

}
