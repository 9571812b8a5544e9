#include "BaselinePlacements.h"
#include "interference/MitigationPolicy.h"
#include "placement/ScoringPlacement.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <queue>

namespace Wagtail
{

namespace
{

constexpr double UndisturbedSeconds = 0.02;
constexpr int Millisecond = 1;
constexpr int RunMilliseconds = 180'000;

// A deployment of the brief and the load on it.
struct Setting
{
    const char *name;
    int workers;
    std::int64_t milliCores;
    double urgentPerSecond;
    double batchPerSecond;
};

// How one run decides.
enum class Strategy {
    FirstFit,
    LeastLoaded,
    RandomOfTwo,
    Reactive,
    ScoreOnly,
    Whole,
};

constexpr std::array<std::pair<Strategy, const char *>, 6> Strategies {
    {{Strategy::FirstFit, "first fit"}, {Strategy::LeastLoaded, "least loaded"},
        {Strategy::RandomOfTwo, "random of two"}, {Strategy::Reactive, "least loaded, reactive evictions"},
        {Strategy::ScoreOnly, "score without model"}, {Strategy::Whole, "score, model and relief"}}};

struct BatchTask
{
    std::string name;
    std::string profile;
    std::string worker;
    double remaining = 0;
    int percent = 100;
};

struct Figures
{
    double tail = 0;
    double farTail = 0;
    double finished = 0;
    int evictions = 0;
};

// The true slowdown that one task of a profile causes to a request beside it.
double trueHarm(const std::string &profile)
{
    return profile == "noisy" ? 0.8 : 0.02;
}

// Plays urgent requests and batch work, with waves of noisy tasks, on fake workers under a fake clock.
class Run
{
public:
    Run(const Setting &setting, Strategy strategy, unsigned seed)
        : m_setting(setting)
        , m_strategy(strategy)
        , m_generator(seed)
        , m_placement(createPlacement(seed))
        , m_relief(MitigationPolicy::Limits())
    {
        for (int i = 0; i < setting.workers; ++i) {
            const std::string name = "w" + std::to_string(i);
            const std::string rack = "r" + std::to_string(i / 8);
            m_fleet.upsert({name, name, "dc", rack, {setting.milliCores, 1'000'000, 0}, 8, 64, false}, 1);
            m_fleet.setAdmission(name, WorkerAdmission::Open);
        }
    }

    Figures play()
    {
        for (m_now = 0; m_now < RunMilliseconds; m_now += Millisecond) {
            endRequests();
            if (m_now % 100 == 0) {
                advanceBatch();
            }
            if (m_now % 500 == 0) {
                relieve();
            }
            arrive(m_setting.urgentPerSecond, [this] { startRequest(); });
            const bool wave = m_now / 30'000 % 2 == 1;
            arrive(m_setting.batchPerSecond, [this] { submit("quiet"); });
            arrive(m_setting.batchPerSecond * (wave ? 0.5 : 0.02), [this] { submit("noisy"); });
        }
        std::sort(m_latencies.begin(), m_latencies.end());
        const auto at = [this](double share) {
            return m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
        };
        return {at(0.99) / UndisturbedSeconds, at(0.999) / UndisturbedSeconds, m_finished / m_submitted, m_evictions};
    }

private:
    struct Ending
    {
        int at = 0;
        std::string holder;

        bool operator>(const Ending &other) const
        {
            return at > other.at;
        }
    };

    std::unique_ptr<PlacementPolicy> createPlacement(unsigned seed)
    {
        switch (m_strategy) {
        case Strategy::FirstFit:
            return std::make_unique<FirstFitPlacement>();
        case Strategy::LeastLoaded:
        case Strategy::Reactive:
            return std::make_unique<LeastLoadedPlacement>();
        case Strategy::RandomOfTwo:
            return std::make_unique<RandomOfTwoPlacement>(seed);
        case Strategy::ScoreOnly:
            return std::make_unique<ScoringPlacement>([](const std::string &, const FleetWorker &) { return 0.0; });
        case Strategy::Whole:
            break;
        }
        return std::make_unique<ScoringPlacement>([this](const std::string &profile, const FleetWorker &worker) {
            double harm = m_model.predict(profile, worker.runningByProfile);
            for (const auto &[other, count] : worker.runningByProfile) {
                harm += m_model.pairSlowdown(other, profile) * static_cast<double>(count);
            }
            return harm < 0.05 ? 0.0 : harm;
        });
    }

    template<typename Action> void arrive(double perSecond, Action action)
    {
        std::poisson_distribution<int> count(perSecond / 1000.0);
        for (int i = count(m_generator); i > 0; --i) {
            action();
        }
    }

    void startRequest()
    {
        const auto worker = m_placement->choose(m_fleet, {{{200, 0, 0}, 1, "check"}, {}, {}, ""});
        if (!worker) {
            m_latencies.push_back(1.0);
            return;
        }
        RunningCounts beside = m_fleet.find(*worker)->runningByProfile;
        double slowdown = 0;
        for (const auto &[name, task] : m_tasks) {
            if (task.worker == *worker) {
                slowdown += trueHarm(task.profile) * task.percent / 100.0;
            }
        }
        const double noise = std::lognormal_distribution<double>(0, 0.05)(m_generator);
        const double seconds = UndisturbedSeconds * (1 + slowdown) * noise;
        const std::string holder = "r" + std::to_string(m_nextName++);
        (void)m_fleet.reserve(*worker, holder, {{200, 0, 0}, 1, "check"});
        m_endings.push({m_now + static_cast<int>(seconds * 1000), holder});
        m_latencies.push_back(seconds);
        m_model.observe("check", beside, seconds);
        double &smooth = m_slowdowns[*worker];
        smooth += 0.1 * (seconds / m_model.baselineSeconds("check") - 1 - smooth);
    }

    void endRequests()
    {
        while (!m_endings.empty() && m_endings.top().at <= m_now) {
            m_fleet.release(m_endings.top().holder);
            m_endings.pop();
        }
    }

    void submit(const std::string &profile)
    {
        BatchTask task;
        task.name = "t" + std::to_string(m_nextName++);
        task.profile = profile;
        task.remaining = std::uniform_real_distribution<double>(5, 25)(m_generator);
        m_submitted += task.remaining;
        m_waiting.push_back(task);
    }

    void advanceBatch()
    {
        for (auto task = m_tasks.begin(); task != m_tasks.end();) {
            const double done = std::min(task->second.remaining, 0.1 * task->second.percent / 100.0);
            task->second.remaining -= done;
            m_finished += done;
            if (task->second.remaining <= 0) {
                m_fleet.release(task->first);
                task = m_tasks.erase(task);
            } else {
                ++task;
            }
        }
        std::erase_if(m_waiting, [this](BatchTask &task) { return place(task); });
    }

    bool place(BatchTask &task)
    {
        const Demand demand {{2000, 100, 0}, 0, task.profile};
        const auto worker = m_placement->choose(m_fleet, {demand, {}, {}, ""});
        if (!worker || !m_fleet.reserve(*worker, task.name, demand)) {
            return false;
        }
        task.worker = *worker;
        m_tasks[task.name] = task;
        return true;
    }

    void evict(const std::string &name)
    {
        BatchTask task = m_tasks.at(name);
        m_fleet.release(name);
        m_tasks.erase(name);
        task.percent = 100;
        m_waiting.push_back(task);
        ++m_evictions;
    }

    void relieve()
    {
        if (m_strategy != Strategy::Whole && m_strategy != Strategy::Reactive) {
            return;
        }
        std::map<std::string, std::vector<MitigationCandidate>> candidates;
        for (const auto &[name, task] : m_tasks) {
            candidates[task.worker].push_back({name, task.profile, true, true});
        }
        for (const auto &[worker, slowdown] : m_slowdowns) {
            const auto &tasks = candidates[worker];
            if (m_strategy == Strategy::Reactive) {
                if (slowdown > 1.0 && !tasks.empty()) {
                    evict(tasks[m_generator() % tasks.size()].task);
                }
                continue;
            }
            const Instant now {Milliseconds(m_now + 1'000'000)};
            const auto step = m_relief.decide(worker, slowdown, "check", tasks, m_model, now);
            if (!step) {
                continue;
            }
            if (step->kind == MitigationStep::Kind::Move) {
                evict(step->task);
            } else {
                m_tasks.at(step->task).percent = step->kind == MitigationStep::Kind::Throttle ? 40 : 100;
            }
        }
    }

    Setting m_setting;
    Strategy m_strategy;
    std::mt19937 m_generator;
    InterferenceModel m_model;
    std::unique_ptr<PlacementPolicy> m_placement;
    MitigationPolicy m_relief;
    Fleet m_fleet;
    std::map<std::string, BatchTask> m_tasks;
    std::vector<BatchTask> m_waiting;
    std::map<std::string, double> m_slowdowns;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    std::vector<double> m_latencies;
    double m_finished = 0;
    double m_submitted = 0;
    int m_evictions = 0;
    int m_nextName = 0;
    int m_now = 0;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void compare(const Setting &setting)
{
    constexpr unsigned Seeds = 5;
    for (const auto &[strategy, name] : Strategies) {
        std::vector<double> tails;
        std::vector<double> farTails;
        std::vector<double> finished;
        std::vector<double> evictions;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            const Figures figures = Run(setting, strategy, seed).play();
            tails.push_back(figures.tail);
            farTails.push_back(figures.farTail);
            finished.push_back(figures.finished);
            evictions.push_back(figures.evictions);
        }
        const auto [least, most] = std::minmax_element(tails.begin(), tails.end());
        std::printf("| %s | %s | %.2f (%.2f to %.2f) | %.2f | %.1f %% | %.0f |\n", setting.name, name, median(tails),
            *least, *most, median(farTails), median(finished) * 100, median(evictions));
        std::fflush(stdout);
    }
}

// Measures one placement at a size, in microseconds.
double placementCost(int workers)
{
    Fleet fleet;
    InterferenceModel model;
    for (int i = 0; i < workers; ++i) {
        const std::string name = "w" + std::to_string(i);
        fleet.upsert({name, name, "dc", "r" + std::to_string(i / 8), {64'000, 250'000, 0}, 8, 64, false}, 1);
        fleet.setAdmission(name, WorkerAdmission::Open);
        for (int j = 0; j < 28; ++j) {
            fleet.recordRunning(name, name + "/" + std::to_string(j), {{500, 100, 0}, 0, "p" + std::to_string(j % 4)});
        }
    }
    ScoringPlacement placement([&model](const std::string &profile, const FleetWorker &worker) {
        return model.predict(profile, worker.runningByProfile);
    });
    constexpr int Rounds = 2000;
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < Rounds; ++i) {
        (void)placement.choose(fleet, {{{500, 100, 0}, 0, "p1"}, {}, {}, ""});
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - before;
    return spent.count() / Rounds;
}

}

}

int main()
{
    std::printf(
        "| deployment | strategy | p99 over undisturbed, median of 5 seeds (spread) | p99.9 | batch work finished | "
        "evictions |\n|---|---|---|---|---|---|\n");
    Wagtail::compare({"Wandoo Creek, 65 of 64 cores", 65, 64'000, 400, 6});
    Wagtail::compare({"Ogbomoso, 50 of 16 cores", 50, 16'000, 300, 5});
    for (const int workers : {36, 50, 1000}) {
        std::printf("placement among %d workers: %.1f us\n", workers, Wagtail::placementCost(workers));
    }
    return 0;
}
