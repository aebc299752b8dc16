#include "http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <sys/socket.h>

namespace carawayturn::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct http_client::state
{
    asio::io_context context;
    tcp::socket socket{context};
    std::mutex mutex;
    bool aborted = false;

    bool connect(std::uint16_t port)
    {
        std::lock_guard const lock(mutex);
        boost::system::error_code failed;
        if (!aborted)
            socket.connect({asio::ip::address_v4::loopback(), port}, failed);
        return !aborted && !failed;
    }
};

http_client::http_client() : state_(std::make_unique<state>()) {}

http_client::~http_client() = default;

http_client_answer http_client::post(std::uint16_t port, std::string const& path,
                                     std::string const& body)
{
    if (!state_->connect(port))
        return {};
    http::request<http::string_body> request(http::verb::post, path, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    boost::system::error_code failed;
    http::write(state_->socket, request, failed);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!failed)
        http::read(state_->socket, buffer, response, failed);
    if (failed)
        return {};
    return {response.result_int(), std::move(response.body())};
}

void http_client::abort()
{
    std::lock_guard const lock(state_->mutex);
    state_->aborted = true;
    if (state_->socket.is_open())
        ::shutdown(state_->socket.native_handle(), SHUT_RDWR);
}

} // namespace carawayturn::standins
