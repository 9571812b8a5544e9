#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

std::shared_ptr<std::optional<RouteOutcome>> submit(TestCluster &cluster, TestInstance &instance)
{
    auto outcome = std::make_shared<std::optional<RouteOutcome>>();
    instance.router.submit(TestCluster::job("job", 1, 1), cluster.clock.now() + Second * 3,
        [outcome](RouteOutcome result) { *outcome = result; });
    return outcome;
}

}

// A balancer repeated a submission at another instance while the first copy was under way to the store. The owner
// refused the second copy, the caller was told that the job never runs, and it ran.
TEST(SubmissionElsewhere, isNotRefusedWhileAnotherInstanceHandsItInThroughTheStore)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    std::vector<TestInstance *> others;
    for (const auto &[number, instance] : cluster.instances) {
        if (instance.get() != &owner) {
            others.push_back(instance.get());
        }
    }
    ASSERT_GE(others.size(), 2U);
    int status = 504;
    cluster.peers.servers[owner.self.name]
        = [&owner, &status](const HttpRequest &request, const HttpServer::Responder &respond) {
              if (request.method != "POST") {
                  return owner.api.handle(request, respond);
              }
              respond({status, {}, {}});
              return true;
          };
    others[0]->store.delay = Second;
    const auto first = submit(cluster, *others[0]);
    cluster.advance(Milliseconds(700));
    ASSERT_FALSE(cluster.state.read(JobKeys::home("job")));
    status = 503;
    const auto second = submit(cluster, *others[1]);
    cluster.advance(Second * 5);
    ASSERT_TRUE(cluster.state.read(JobKeys::home("job")));
    ASSERT_EQ(cluster.workers.startCount({"job", 0, 0, 0}), 1U);
    ASSERT_TRUE(second->has_value());
    EXPECT_NE(**second, RouteOutcome::Unavailable);
    EXPECT_NE(**second, RouteOutcome::Refused);
}

}
