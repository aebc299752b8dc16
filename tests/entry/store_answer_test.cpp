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

// Guards against a write beyond the buffer for a value whose length is no multiple of
// four: it damaged the heap or lost the last bytes.
TEST(store_answer_test, value_without_padding_is_decoded_to_its_last_byte)
{
    for (std::size_t size = 0; size < 400; ++size)
    {
        auto const read = decode_answer(answer_with_value(std::string(size, '/')));
        ASSERT_TRUE(succeeded(read));
        auto const& value = std::get<store_answer>(read).rows.at(0).value;
        // Each character carries six bits, and all of them are set.
        EXPECT_EQ(value, std::string(size * 6 / 8, '\xff')) << size;
    }
}

} // namespace
} // namespace carawayturn::platform
