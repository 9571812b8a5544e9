#include "PlatformProgram.h"
#include "StandinOptions.h"
#include "base/SystemClock.h"
#include "logging/Log.h"

#include <cstdio>
#include <sstream>

// Runs the stand-in of the platform: --control=PORT, --store=PORT, --links=PORT (one for each of --instances=N),
// --worker-ports=PORT and --worker-links=PORT (one for each of --workers=N), --relays=KIND:PORT:TARGET,...,
// --data-centres=A,B, --lease-ms, --stop-ms, --seed, --writes,
// --reads.
int main(int count, char **arguments)
{
    const auto options = Wagtail::readOptions(count, arguments);
    const auto number = [&options](const char *name, const char *fallback) {
        return std::stoi(Wagtail::optionOr(options, name, fallback));
    };
    const auto port = [&number](const char *name, const char *fallback) {
        return static_cast<std::uint16_t>(number(name, fallback));
    };
    Wagtail::PlatformProgram::Settings settings;
    settings.controlPort = port("control", "21000");
    settings.storePort = port("store", "21001");
    settings.linkPort = port("links", "21010");
    settings.workerPort = port("worker-ports", "21100");
    settings.workerLinkPort = port("worker-links", "21500");
    settings.instances = number("instances", "1");
    settings.workers = number("workers", "1");
    settings.longestLease = Wagtail::Milliseconds(number("lease-ms", "10000"));
    settings.longestStop = Wagtail::Milliseconds(number("stop-ms", "900"));
    settings.seed = static_cast<std::uint64_t>(number("seed", "1"));
    settings.limits.writesPerSecond = number("writes", "400");
    settings.limits.readsPerSecond = number("reads", "2000");
    std::stringstream names(Wagtail::optionOr(options, "data-centres", "depot"));
    for (std::string name; std::getline(names, name, ',');) {
        settings.dataCentres.push_back(name);
    }
    std::stringstream relays(Wagtail::optionOr(options, "relays", ""));
    for (std::string text; std::getline(relays, text, ',');) {
        std::stringstream fields(text);
        Wagtail::PlatformProgram::Relay relay;
        char separator = 0;
        if (std::getline(fields, relay.kind, ':') && fields >> relay.port >> separator >> relay.targetPort) {
            settings.relays.push_back(relay);
        }
    }
    Wagtail::startLog("platform", "info");
    asio::io_context context(1);
    const Wagtail::SystemClock clock;
    Wagtail::PlatformProgram program(context, clock, settings);
    const Wagtail::Status status = program.open();
    if (const Wagtail::Error *error = Wagtail::errorOf(status)) {
        std::fprintf(stderr, "%s; %s\n", error->detail.c_str(), error->remedy.c_str());
        return 1;
    }
    context.run();
    return 0;
}
