#include "StandinOptions.h"
#include "StoreProgram.h"
#include "base/SystemClock.h"

#include <cstdio>

int main(int count, char **arguments)
{
    const auto options = Wagtail::readOptions(count, arguments);
    constexpr std::uint64_t ValueLimit = 1U << 20U;
    asio::io_context context(1);
    const Wagtail::SystemClock clock;
    Wagtail::StoreProgram program(context, clock);
    const auto port = static_cast<std::uint16_t>(std::stoi(Wagtail::optionOr(options, "port", "7000")));
    auto server = Wagtail::HttpServer::create(context, {"127.0.0.1", port, ValueLimit},
        [&program](const Wagtail::HttpRequest &request, Wagtail::HttpServer::Responder respond) {
            program.handle(request, std::move(respond));
        });
    if (const Wagtail::Error *error = Wagtail::errorOf(server)) {
        std::fprintf(stderr, "%s; %s\n", error->detail.c_str(), error->remedy.c_str());
        return 1;
    }
    context.run();
    return 0;
}
