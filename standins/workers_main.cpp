#include "StandinOptions.h"
#include "StandinWorker.h"
#include "base/SystemClock.h"
#include "http/HttpServer.h"

#include <asio/steady_timer.hpp>
#include <cstdio>
#include <memory>
#include <vector>

namespace
{

constexpr std::uint64_t BodyLimit = 16U << 20U;
constexpr int WorkersPerRack = 8;

// Ends tasks in time even when nobody calls.
void keepAdvancing(asio::steady_timer &timer, const std::vector<std::unique_ptr<Wagtail::StandinWorker>> &workers)
{
    timer.expires_after(Wagtail::Milliseconds(20));
    timer.async_wait([&timer, &workers](const asio::error_code &error) {
        if (error) {
            return;
        }
        for (const auto &worker : workers) {
            worker->advance();
        }
        keepAdvancing(timer, workers);
    });
}

}

// Serves --count workers of one data centre on consecutive ports from --port on.
int main(int count, char **arguments)
{
    const auto options = Wagtail::readOptions(count, arguments);
    const int first = std::stoi(Wagtail::optionOr(options, "port", "7100"));
    const int workerCount = std::stoi(Wagtail::optionOr(options, "count", "1"));
    asio::io_context context(1);
    const Wagtail::SystemClock clock;
    const auto schedule = [&context](Wagtail::Milliseconds delay, std::function<void()> action) {
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code &) { action(); });
    };
    std::vector<std::unique_ptr<Wagtail::StandinWorker>> workers;
    std::vector<std::unique_ptr<Wagtail::HttpServer>> servers;
    for (int i = 0; i < workerCount; ++i) {
        Wagtail::WorkerDescription description;
        description.name = Wagtail::optionOr(options, "prefix", "worker") + "-" + std::to_string(i);
        description.rack = "rack-" + std::to_string(i / WorkersPerRack);
        description.capacity = {std::stoll(Wagtail::optionOr(options, "millicores", "64000")),
            std::stoll(Wagtail::optionOr(options, "memory-mb", "250000")),
            std::stoll(Wagtail::optionOr(options, "accelerators", "0"))};
        description.slots = std::stoll(Wagtail::optionOr(options, "slots", "8"));
        description.connections = 64;
        workers.push_back(std::make_unique<Wagtail::StandinWorker>(clock, schedule, std::move(description)));
        Wagtail::StandinWorker *worker = workers.back().get();
        auto server
            = Wagtail::HttpServer::create(context, {"127.0.0.1", static_cast<std::uint16_t>(first + i), BodyLimit},
                [worker](const Wagtail::HttpRequest &request, const Wagtail::HttpServer::Responder &respond) {
                    worker->handle(request, respond);
                });
        if (const Wagtail::Error *error = Wagtail::errorOf(server)) {
            std::fprintf(stderr, "%s; %s\n", error->detail.c_str(), error->remedy.c_str());
            return 1;
        }
        servers.push_back(std::move(std::get<std::unique_ptr<Wagtail::HttpServer>>(server)));
    }
    asio::steady_timer timer(context);
    keepAdvancing(timer, workers);
    context.run();
    return 0;
}
