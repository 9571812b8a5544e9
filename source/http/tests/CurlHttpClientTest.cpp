#include "http/CurlHttpClient.h"
#include "http/HttpServer.h"

#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace Wagtail
{

namespace
{

// Tests run side by side, each in a process of its own.
const auto TestPort = static_cast<std::uint16_t>(29'000 + ::getpid() % 2'000);

// A server that answers with a body of the size that the path names, and a client, on one context.
class CurlHttpClientTest : public testing::Test
{
protected:
    CurlHttpClientTest() : m_client(m_context, 4)
    {
        const auto answer = [this](const HttpRequest &request, const HttpServer::Responder &respond) {
            requests.push_back(request);
            HttpResponse response;
            response.status = 200;
            response.body = std::string(std::stoull(request.path.substr(1)), 'x');
            respond(std::move(response));
        };
        auto created = HttpServer::create(m_context, {"127.0.0.1", TestPort}, answer);
        m_server = std::move(std::get<std::unique_ptr<HttpServer>>(created));
    }

    ~CurlHttpClientTest() override
    {
        m_server->close();
        m_context.run_for(std::chrono::milliseconds(20));
    }

    HttpAnswer send(HttpCall call)
    {
        std::optional<HttpAnswer> answer;
        call.timeoutMilliseconds = 20'000;
        m_client.send(std::move(call), [&answer](HttpAnswer given) { answer = std::move(given); });
        while (!answer) {
            m_context.run_for(std::chrono::milliseconds(5));
            m_context.restart();
        }
        return *std::move(answer);
    }

    static HttpCall callOf(const std::string &path)
    {
        HttpCall call;
        call.method = "GET";
        call.url = "http://127.0.0.1:" + std::to_string(TestPort) + path;
        return call;
    }

    std::vector<HttpRequest> requests;

private:
    asio::io_context m_context {1};
    CurlHttpClient m_client;
    std::unique_ptr<HttpServer> m_server;
};

}

// Guards against an answer that fills the memory.
TEST_F(CurlHttpClientTest, givesUpAnswersThatAreTooLarge)
{
    EXPECT_EQ(send(callOf("/4000000")).body.size(), 4'000'000U);
    const HttpAnswer large = send(callOf("/70000000"));
    EXPECT_EQ(large.delivery, Delivery::Lost);
    EXPECT_FALSE(large.failure.empty());
    EXPECT_EQ(send(callOf("/7")).body, "xxxxxxx");
}

// Guards against a worker's name from another writer that adds headers to the orders.
TEST_F(CurlHttpClientTest, sendsNoCallWithControlCharacters)
{
    HttpCall header = callOf("/1");
    header.headers = {{"Expect-Instance", "i-1\r\nInjected: yes"}};
    HttpCall method = callOf("/1");
    method.method = "GET / HTTP/1.1\r\nInjected: yes\r\n\r\nGET";
    for (const HttpCall &call : {header, method, callOf("/1\r\nInjected: yes")}) {
        const HttpAnswer answer = send(call);
        EXPECT_EQ(answer.delivery, Delivery::NotSent);
        EXPECT_FALSE(answer.failure.empty());
    }
    EXPECT_TRUE(requests.empty());
    EXPECT_EQ(send(callOf("/1")).status, 200);
}

}
