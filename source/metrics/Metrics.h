#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Wagtail
{

// Counters, gauges and duration histograms, written in the Prometheus text format. May be used from any thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds to a counter. Labels have the Prometheus form, for instance kind="read", or are empty.
    void count(const std::string &name, const std::string &labels = {}, std::uint64_t amount = 1);

    void gauge(const std::string &name, const std::string &labels, double value);

    // Adds one duration, in seconds, to a histogram.
    void observe(const std::string &name, const std::string &labels, double seconds);

    [[nodiscard]] std::string text() const;

private:
    struct Histogram;
    using Series = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Series, std::uint64_t> m_counters;
    std::map<Series, double> m_gauges;
    std::map<Series, std::unique_ptr<Histogram>> m_histograms;
};

}
