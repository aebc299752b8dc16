#include "protocol/entry/packed_text.hpp"

#include <gtest/gtest.h>

namespace carawayturn::entry
{
namespace
{

constexpr std::size_t limit = 100'000;

TEST(packed_text_test, packed_text_is_shorter_and_unpacks_to_the_original)
{
    std::string text;
    for (int i = 0; i < 500; ++i)
        text += R"({"name":"model)" + std::to_string(i) + R"(","weights_mb":65100})";
    auto const packed = pack(text);
    EXPECT_LT(packed.size() * 4, text.size());
    auto const read = unpack(packed, limit);
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(std::get<std::string>(read), text);
    EXPECT_TRUE(succeeded(unpack(pack(""), limit)));
}

// Guards against a few bytes from a peer that unpack to a text of any size.
TEST(packed_text_test, text_above_the_limit_is_refused)
{
    auto const packed = pack(std::string(limit + 1, 'a'));
    EXPECT_LT(packed.size(), 1000U);
    EXPECT_FALSE(succeeded(unpack(packed, limit)));
}

TEST(packed_text_test, invalid_packed_bytes_are_refused)
{
    auto const packed = pack("some text of a configuration");
    for (std::size_t size = 0; size < packed.size(); ++size)
        EXPECT_FALSE(succeeded(unpack(packed.substr(0, size), limit))) << size;
    EXPECT_FALSE(succeeded(unpack(std::string(50, '\1'), limit)));
}

} // namespace
} // namespace carawayturn::entry
