#include "metrics/Metrics.h"

#include <boost/histogram.hpp>
#include <set>
#include <sstream>

namespace Wagtail
{

namespace
{

using Axis = boost::histogram::axis::variable<double>;
using Storage = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

Axis durationAxis()
{
    return Axis({0.0, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0,
        10.0, 60.0});
}

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

}

struct Metrics::Histogram
{
    Storage storage = boost::histogram::make_histogram(durationAxis());
    double sum = 0;
    std::uint64_t samples = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, labels}] += amount;
}

void Metrics::gauge(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void Metrics::observe(const std::string &name, const std::string &labels, double seconds)
{
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Histogram> &histogram = m_histograms[{name, labels}];
    if (!histogram) {
        histogram = std::make_unique<Histogram>();
    }
    histogram->storage(seconds);
    histogram->sum += seconds;
    ++histogram->samples;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    std::set<std::string> typed;
    const auto type = [&](const std::string &name, const char *kind) {
        if (typed.insert(name).second) {
            out << "# TYPE " << name << ' ' << kind << '\n';
        }
    };
    for (const auto &[series, value] : m_counters) {
        type(series.first, "counter");
        out << withLabels(series.first, series.second) << ' ' << value << '\n';
    }
    for (const auto &[series, value] : m_gauges) {
        type(series.first, "gauge");
        out << withLabels(series.first, series.second) << ' ' << value << '\n';
    }
    for (const auto &[series, histogram] : m_histograms) {
        const auto &[name, labels] = series;
        type(name, "histogram");
        const std::string separator = labels.empty() ? "" : ",";
        double below = 0;
        for (const auto &bin : boost::histogram::indexed(histogram->storage)) {
            below += *bin;
            out << name << "_bucket{" << labels << separator << "le=\"" << bin.bin().upper() << "\"} " << below << '\n';
        }
        out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << histogram->samples << '\n';
        out << withLabels(name + "_sum", labels) << ' ' << histogram->sum << '\n';
        out << withLabels(name + "_count", labels) << ' ' << histogram->samples << '\n';
    }
    return out.str();
}

}
