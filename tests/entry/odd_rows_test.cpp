#include "platform/server_codec.hpp"
#include "platform/store_codec.hpp"

#include <gtest/gtest.h>

// Rows that another writer left in the store's tables.
namespace carawayturn::platform
{
namespace
{

// Guards against a key that ends the parameter or the request line of the call for the
// next page.
TEST(odd_rows_test, key_in_the_call_for_the_next_page_is_percent_encoded)
{
    auto const target_from = [](std::string_view key)
    { return encode_table_read(store_table::backend_servers, key).target; };
    std::string const begin = "/rows-get?table=servers&part=";
    EXPECT_EQ(target_from(""), begin);
    EXPECT_EQ(target_from("i-1_a.b~"), begin + "&from=i-1_a.b~");
    EXPECT_EQ(target_from("a b&c=d%e\r\n/\xff#+?"),
              begin + "&from=a%20b%26c%3Dd%25e%0D%0A%2F%FF%23%2B%3F");
    EXPECT_EQ(target_from(std::string_view("\0x", 2)), begin + "&from=%00x");
}

} // namespace
} // namespace carawayturn::platform
