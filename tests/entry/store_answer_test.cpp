#include "platform/config_codec.hpp"
#include "platform/server_codec.hpp"
#include "platform/store_codec.hpp"

#include <gtest/gtest.h>

namespace carawayturn::platform
{
namespace
{

std::string answer_with_value(std::string const& value)
{
    return R"({"rows":[{"key":"k","row_version":3,"value":")" + value +
           R"("}],"row_version":3})";
}

// Guards against a buffer overflow for a base64 value whose length is not a multiple of
// four: it corrupted the heap or lost the last bytes.
TEST(store_answer_test, value_without_padding_is_decoded_to_its_last_byte)
{
    for (std::size_t size = 0; size < 400; ++size)
    {
        auto const read = decode_store_answer(answer_with_value(std::string(size, '/')));
        ASSERT_TRUE(succeeded(read));
        auto const& value = std::get<store_answer>(read).rows.at(0).value;
        // Each character carries six bits, and all of them are set.
        EXPECT_EQ(value, std::string(size * 6 / 8, '\xff')) << size;
    }
}

std::string repeated_items(std::string const& item, std::size_t count)
{
    std::string items;
    for (std::size_t i = 0; i < count; ++i)
        items += item + ",";
    return items + item;
}

// Guards against a document of 4 MB whose short items use many times that memory: an
// instance grew by 170 MB for one answer.
TEST(store_answer_test, items_that_take_too_much_memory_are_refused)
{
    EXPECT_FALSE(succeeded(
        decode_store_answer(R"({"rows":[)" + repeated_items("0", 1'900'000) + "]}")));
    EXPECT_FALSE(succeeded(
        decode_store_answer(R"({"rows":[)" + repeated_items("{}", 1'300'000) + "]}")));
    EXPECT_FALSE(succeeded(decode_config(R"({"version":1,"routes":[)" +
                                         repeated_items("[]", 1'300'000) + "]}")));
    EXPECT_FALSE(succeeded(
        decode_server("s1", R"({"models":[)" + repeated_items("0", 1'900'000) + "]}")));
}

// Guards against a memory limit that rejects the longest page of ordinary rows.
TEST(store_answer_test, page_of_a_megabyte_is_decoded)
{
    std::string const row = R"({"table":"servers","part":"","key":"s1","value":")" +
                            std::string(200, 'e') + R"(","row_version":7})";
    auto const read = decode_store_answer(R"({"rows":[)" + repeated_items(row, 5000) +
                                          R"(],"row_version":7})");
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(std::get<store_answer>(read).rows.size(), 5001U);
}

// Guards against storing rows without a key, which cannot be used.
TEST(store_answer_test, row_without_key_is_skipped)
{
    auto const read =
        decode_store_answer(R"({"rows":[{},{"key":"k","row_version":1},{}]})");
    ASSERT_TRUE(succeeded(read));
    EXPECT_EQ(std::get<store_answer>(read).rows.size(), 1U);
}

} // namespace
} // namespace carawayturn::platform
