#include "transport/entry/peer_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace carawayturn::entry
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
/// A peer with more queued messages than this is assumed not to read.
constexpr std::size_t max_queued = 64;
/// A peer with more queued bytes than this is assumed not to read. Allows two messages of
/// the maximum size.
constexpr std::size_t max_queued_bytes = 2 * max_node_message;
/// The buffer of an incoming message grows as bytes arrive: it doubles, but grows by at
/// least this many bytes. A peer that announces a long message thus takes no memory for
/// bytes that it does not send.
constexpr std::size_t min_read_bytes = 4096;
/// Limit for the bytes of incomplete messages on all connections together. A connection
/// whose message would exceed it is closed. Messages of up to `max_unreserved_bytes` are
/// not counted, so that long messages do not keep out ordinary statuses.
constexpr std::size_t max_reserved_bytes = 4 * max_node_message;
constexpr std::size_t max_unreserved_bytes = std::size_t{16} << 10U;

/// The share of one incoming message in `max_reserved_bytes`.
class receive_reservation
{
public:
    receive_reservation() = default;
    ~receive_reservation() { total_reserved -= reserved_; }
    receive_reservation(receive_reservation const&) = delete;
    receive_reservation& operator=(receive_reservation const&) = delete;

    /// Reserves memory for the message to grow to `size` bytes. Returns whether the limit
    /// allows it.
    [[nodiscard]] bool try_grow(std::size_t size)
    {
        if (size <= max_unreserved_bytes)
            return true;
        if (total_reserved - reserved_ + size > max_reserved_bytes)
            return false;
        total_reserved += size - reserved_;
        reserved_ = size;
        return true;
    }

private:
    /// Not synchronized: all connections are served by one thread.
    inline static std::size_t total_reserved = 0;
    std::size_t reserved_ = 0;
};

void prepend_length(encoded_update& message)
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

std::size_t decode_length(std::array<unsigned char, length_prefix_bytes> const& bytes)
{
    std::size_t size = 0;
    for (unsigned i = 0; i < length_prefix_bytes; ++i)
        size |= static_cast<std::size_t>(bytes.at(i)) << (8 * i);
    return size;
}

} // namespace

peer_connection::peer_connection(std::shared_ptr<deadline_socket> socket)
    : socket_(std::move(socket))
{
}

task<std::optional<std::string>>
peer_connection::read(std::shared_ptr<peer_connection> self)
{
    std::array<unsigned char, length_prefix_bytes> length{};
    auto const [failure, size] = co_await asio::async_read(
        self->socket_->socket(), asio::buffer(length), use_task);
    if (failure)
        co_return std::nullopt;
    auto const expected = decode_length(length);
    if (expected > max_node_message)
    {
        self->close();
        co_return std::nullopt;
    }
    std::string message;
    receive_reservation reservation;
    while (message.size() < expected)
    {
        auto const begin = message.size();
        auto const end = std::min(expected, begin + std::max(begin, min_read_bytes));
        if (!reservation.try_grow(end))
        {
            self->close();
            co_return std::nullopt;
        }
        message.resize(end);
        auto const [broken, received] = co_await asio::async_read(
            self->socket_->socket(),
            asio::buffer(message.data() + begin, message.size() - begin), use_task);
        if (broken)
            co_return std::nullopt;
    }
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
    if (self->queue_.size() >= max_queued ||
        self->queued_bytes_ + message.size() > max_queued_bytes)
    {
        self->close();
        return;
    }
    self->queued_bytes_ += message.size();
    prepend_length(message);
    self->queue_.push_back(std::move(message));
    if (self->writing_)
        return;
    self->writing_ = true;
    // An instance whose connection is closed connects again. Its reading side logs the
    // end of the connection.
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
        self->queued_bytes_ -= frame.size() - length_prefix_bytes;
        auto const buffers = buffers_of(frame);
        auto const [failure, size] =
            co_await asio::async_write(self->socket_->socket(), buffers, use_task);
        if (failure)
            self->close();
    }
    self->writing_ = false;
}

} // namespace carawayturn::entry
