#include "transport/entry/peer_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace carawayturn::entry
{

namespace
{

constexpr std::size_t length_bytes = 4;
/// A peer with more messages waiting for it is not reading.
constexpr std::size_t max_queued = 64;

void add_length(encoded_update& message)
{
    auto const size = static_cast<std::uint32_t>(message.size());
    std::string length;
    for (unsigned shift = 0; shift < 32; shift += 8)
        length += static_cast<char>((size >> shift) & 0xffU);
    message.head.insert(0, length);
}

std::vector<asio::const_buffer> buffers_of(encoded_update const& frame)
{
    std::vector<asio::const_buffer> buffers{asio::buffer(frame.head)};
    for (auto const& part : frame.parts)
        buffers.push_back(asio::buffer(*part));
    return buffers;
}

std::size_t read_length(std::array<unsigned char, length_bytes> const& bytes)
{
    std::size_t size = 0;
    for (unsigned i = 0; i < length_bytes; ++i)
        size |= static_cast<std::size_t>(bytes.at(i)) << (8 * i);
    return size;
}

} // namespace

peer_connection::peer_connection(std::shared_ptr<watched_socket> socket)
    : socket_(std::move(socket))
{
}

task<std::optional<std::string>>
peer_connection::read(std::shared_ptr<peer_connection> self)
{
    std::array<unsigned char, length_bytes> length{};
    auto const [failure, size] = co_await asio::async_read(
        self->socket_->socket(), asio::buffer(length), use_task);
    if (failure)
        co_return std::nullopt;
    auto const expected = read_length(length);
    if (expected > max_node_message)
    {
        self->close();
        co_return std::nullopt;
    }
    std::string message(expected, '\0');
    auto const [broken, received] = co_await asio::async_read(
        self->socket_->socket(), asio::buffer(message), use_task);
    if (broken)
        co_return std::nullopt;
    co_return message;
}

void peer_connection::send(std::shared_ptr<peer_connection> const& self,
                           std::string message)
{
    send(self, encoded_update{std::move(message), {}});
}

void peer_connection::send(std::shared_ptr<peer_connection> const& self,
                           encoded_update message)
{
    if (!self->open())
        return;
    if (self->queue_.size() >= max_queued)
    {
        self->close();
        return;
    }
    add_length(message);
    self->queue_.push_back(std::move(message));
    if (self->writing_)
        return;
    self->writing_ = true;
    // An instance that is cut off asks again; its reading side logs the end.
    asio::co_spawn(self->socket_->socket().get_executor(), write_queued(self),
                   [self](std::exception_ptr const& failure)
                   {
                       if (failure)
                           self->close();
                   });
}

task<void> peer_connection::write_queued(std::shared_ptr<peer_connection> self)
{
    while (!self->queue_.empty() && self->open())
    {
        auto const frame = std::move(self->queue_.front());
        self->queue_.pop_front();
        auto const buffers = buffers_of(frame);
        auto const [failure, size] =
            co_await asio::async_write(self->socket_->socket(), buffers, use_task);
        if (failure)
            self->close();
    }
    self->writing_ = false;
}

} // namespace carawayturn::entry
