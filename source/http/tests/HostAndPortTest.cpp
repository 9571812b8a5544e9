#include "http/HostAndPort.h"

#include <gtest/gtest.h>
#include <string>

namespace Wagtail
{

TEST(HostAndPort, acceptsAddressesAndNamesWithAPort)
{
    for (const char *text : {"10.0.0.1:80", "a:1", "worker-7.depot_2.example:65535", "[::1]:80", "[fe80::1:2]:9"}) {
        EXPECT_TRUE(isHostAndPort(text)) << text;
    }
}

// Guards against an entry that sends calls elsewhere or adds headers to them.
TEST(HostAndPort, rejectsWhatIsNoHostWithAPort)
{
    for (const char *text : {"", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536",
             "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1:8x", "10.0.0.1:80 ", " 10.0.0.1:80",
             "10.0.0.1 :80", "10.0.0.1:80/path", "10.0.0.1/path:80", "user@10.0.0.1:80", "http://10.0.0.1:80",
             "10.0.0.1:80\r\nX: y", "10.0.0.1\r\nX:80", "10.0.0.1\n:80", "a?b:80", "a#b:80", "a%00:80", "a\\b:80",
             "::1:80", "[]:80", "[80]:80", "[::1:80", "10.0.0.1:80:90", "\xc3\xa4:80"}) {
        EXPECT_FALSE(isHostAndPort(text)) << text;
    }
    EXPECT_FALSE(isHostAndPort(std::string("10.0.0.1\0:80", 12)));
    EXPECT_FALSE(isHostAndPort(std::string(300, 'a') + ":80"));
}

TEST(HostAndPort, findsCharactersThatEndAHostInAnUrl)
{
    EXPECT_TRUE(hasOnlyHostCharacters("instance-0"));
    EXPECT_TRUE(hasOnlyHostCharacters("[::1]:80"));
    for (const char *text : {"", "a/b", "a b", "a\r\nb", "u@a", "a?b", "a#b"}) {
        EXPECT_FALSE(hasOnlyHostCharacters(text)) << text;
    }
}

}
