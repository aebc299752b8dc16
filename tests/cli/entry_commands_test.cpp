#include "app/cli/entry_commands.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace carawayturn::cli
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto whole_page = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Listens where an instance has its metrics address, and answers with fixed bytes.
class entry_commands_test : public testing::Test
{
protected:
    result<std::string> read_page(std::string const& answer)
    {
        std::thread server(
            [this, &answer]
            {
                auto connection = acceptor_.accept();
                std::string request;
                boost::system::error_code ignored;
                asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n",
                                 ignored);
                asio::write(connection, asio::buffer(answer), ignored);
            });
        auto page =
            read_entry_page({"127.0.0.1", acceptor_.local_endpoint().port()}, "/state");
        server.join();
        return page;
    }

    void expect_malformed(std::string const& answer)
    {
        auto const page = read_page(answer);
        ASSERT_FALSE(succeeded(page)) << answer;
        EXPECT_EQ(std::get<error>(page).code, error_code::unknown_outcome) << answer;
        EXPECT_EQ(std::get<error>(page).detail.find("malformed answer, "), 0U) << answer;
    }

    asio::io_context context_;
    tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

TEST_F(entry_commands_test, page_is_the_body_of_the_answer)
{
    auto const page = read_page(whole_page);
    ASSERT_TRUE(succeeded(page)) << to_string(std::get<error>(page));
    EXPECT_EQ(std::get<0>(page), "{}");
}

TEST_F(entry_commands_test, page_that_is_not_found_is_an_error)
{
    auto const page = read_page("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    ASSERT_FALSE(succeeded(page));
    EXPECT_EQ(std::get<error>(page).code, error_code::protocol_violation);
    EXPECT_EQ(std::get<error>(page).detail, "answered 404");
}

// Guards against a command that reports a status which is none.
TEST_F(entry_commands_test, page_behind_a_status_that_is_none_is_malformed)
{
    for (std::string const status : {"000", "099", "101", "600", "999"})
        expect_malformed("HTTP/1.1 " + status + " Said\r\n\r\n" + whole_page);
}

// Guards against a command that prints a body whose coding it does not know.
TEST_F(entry_commands_test, page_in_another_transfer_coding_is_malformed)
{
    expect_malformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}");
}

// Guards against a command that takes an informational answer for the final one.
TEST_F(entry_commands_test, page_behind_informational_answers_is_read)
{
    auto const page =
        read_page(std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + whole_page);
    ASSERT_TRUE(succeeded(page)) << to_string(std::get<error>(page));
    EXPECT_EQ(std::get<0>(page), "{}");
}

} // namespace
} // namespace carawayturn::cli
