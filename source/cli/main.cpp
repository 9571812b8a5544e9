#include "cli/Commands.h"
#include "http/CurlHttpClient.h"

#include <cstdio>
#include <curl/curl.h>

namespace
{

Wagtail::HttpAnswer sendAndWait(Wagtail::HttpCall call)
{
    asio::io_context context(1);
    Wagtail::CurlHttpClient client(context, 1);
    Wagtail::HttpAnswer result;
    // A call from the command line may be one that must not be repeated.
    call.reuse = Wagtail::ConnectionReuse::Forbidden;
    client.send(std::move(call), [&context, &result](Wagtail::HttpAnswer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run();
    return result;
}

}

int main(int count, const char **arguments)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto line = Wagtail::parseCommandLine(count, arguments);
    if (const Wagtail::Error *error = Wagtail::errorOf(line)) {
        std::fprintf(stderr, "wagtailctl: %s; %s\n", error->detail.c_str(), error->remedy.c_str());
        return static_cast<int>(Wagtail::ExitCode::Usage);
    }
    Wagtail::Commands commands(std::get<Wagtail::CommandLine>(line), sendAndWait);
    Wagtail::CommandOutput output;
    const Wagtail::ExitCode code = commands.run(output);
    std::fwrite(output.text.data(), 1, output.text.size(), stdout);
    std::fwrite(output.errors.data(), 1, output.errors.size(), stderr);
    return static_cast<int>(code);
}
