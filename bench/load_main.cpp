#include "LoadGenerator.h"
#include "StandinOptions.h"

#include <algorithm>
#include <cstdio>
#include <curl/curl.h>

namespace
{

double quantile(const std::vector<double> &sorted, double share)
{
    const auto position = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[position];
}

}

// Prints one JSON line: --url, --count, --concurrency, --rate, --body, --header=Name:Value.
int main(int count, char **arguments)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto options = Wagtail::readOptions(count, arguments);
    Wagtail::LoadPlan plan;
    plan.call.method = "POST";
    plan.call.url = Wagtail::optionOr(options, "url", "");
    plan.call.body = Wagtail::optionOr(options, "body", "x");
    plan.call.timeoutMilliseconds = 10'000;
    const std::string header = Wagtail::optionOr(options, "header", "");
    const std::size_t colon = header.find(':');
    if (colon != std::string::npos) {
        plan.call.headers.push_back({header.substr(0, colon), header.substr(colon + 1)});
    }
    plan.count = std::stoi(Wagtail::optionOr(options, "count", "1000"));
    plan.concurrency = std::stoi(Wagtail::optionOr(options, "concurrency", "1"));
    plan.rate = std::stod(Wagtail::optionOr(options, "rate", "0"));
    Wagtail::LoadResult result = Wagtail::LoadGenerator(std::move(plan)).run();
    std::sort(result.milliseconds.begin(), result.milliseconds.end());
    std::printf("{\"calls\":%zu,\"failures\":%d,\"seconds\":%.3f,\"p50\":%.3f,\"p99\":%.3f,\"p999\":%.3f}\n",
        result.milliseconds.size(), result.failures, result.seconds, quantile(result.milliseconds, 0.5),
        quantile(result.milliseconds, 0.99), quantile(result.milliseconds, 0.999));
    return 0;
}
