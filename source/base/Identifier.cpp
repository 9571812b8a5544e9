#include "base/Identifier.h"

#include <array>
#include <cstdio>
#include <random>
#include <xxhash.h>

namespace Wagtail
{

namespace
{

std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed {device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return engine;
}

}

std::string createIdentifier(std::int64_t wallMilliseconds)
{
    const std::uint64_t high = generator()();
    const std::uint64_t low = generator()();
    const auto time = static_cast<std::uint64_t>(wallMilliseconds);
    constexpr std::size_t TextLength = 36;
    std::array<char, TextLength + 1> text {};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx", static_cast<unsigned>(time >> 16U),
        static_cast<unsigned>(time & 0xffffU), static_cast<unsigned>(high & 0xfffU),
        static_cast<unsigned>(0x8000U | ((high >> 16U) & 0x3fffU)),
        static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return {text.data(), TextLength};
}

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

}
