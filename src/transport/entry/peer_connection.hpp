#pragma once

#include "protocol/entry/node_codec.hpp"
#include "transport/entry/io.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace carawayturn::entry
{

/// A connection between two instances that carries length-prefixed messages.
class peer_connection
{
public:
    explicit peer_connection(std::shared_ptr<deadline_socket> socket);

    /// Reads the next message. Returns nothing when the connection has ended.
    [[nodiscard]] static task<std::optional<std::string>>
    read(std::shared_ptr<peer_connection> self);

    /// Queues a message. Closes the connection if too many messages are queued because
    /// the peer does not read them.
    static void send(std::shared_ptr<peer_connection> const& self, std::string message);
    /// Queues an encoded update without copying its parts.
    static void send(std::shared_ptr<peer_connection> const& self,
                     encoded_update message);

    void close() { socket_->close(); }
    [[nodiscard]] bool open() const { return socket_->socket().is_open(); }
    void set_deadline(time_point deadline) { socket_->set_deadline(deadline); }

private:
    static task<void> write_queued(std::shared_ptr<peer_connection> self);

    std::shared_ptr<deadline_socket> socket_;
    std::deque<encoded_update> queue_;
    std::size_t queued_bytes_ = 0;
    bool writing_ = false;
};

} // namespace carawayturn::entry
