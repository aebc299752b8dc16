#include "transport/peer_link.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/duty_thread.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Largest UDP payload.
constexpr std::size_t datagram_buffer_bytes = std::size_t{64} << 10U;

/// A TCP message is its length in network byte order, then its bytes.
constexpr std::size_t length_bytes = 4;

/// Memory grows with what has arrived, not with the length that a sender claims.
constexpr std::size_t read_step_bytes = std::size_t{1} << 20U;

/// Time until accepting is tried again after an error such as too many open files.
constexpr auto accept_retry = std::chrono::milliseconds(100);

/// Rejected messages are logged at most this often, whoever sends them.
constexpr auto rejection_log_interval = std::chrono::seconds(1);

using length_prefix = std::array<unsigned char, length_bytes>;

length_prefix print_length(std::size_t size)
{
    length_prefix prefix{};
    for (std::size_t at = 0; at < length_bytes; ++at)
        prefix.at(at) =
            static_cast<unsigned char>((size >> (8U * (length_bytes - 1 - at))) & 0xFFU);
    return prefix;
}

std::size_t read_length(length_prefix const& prefix)
{
    std::size_t size = 0;
    for (auto const byte : prefix)
        size = (size << 8U) | byte;
    return size;
}

/// Closes a socket that is still open at its deadline.
class socket_deadline
{
public:
    socket_deadline(tcp::socket& socket, duration limit) : timer_(socket.get_executor())
    {
        timer_.expires_after(limit);
        timer_.async_wait(
            [&socket](boost::system::error_code failure)
            {
                boost::system::error_code ignored;
                if (!failure)
                    socket.close(ignored);
            });
    }

private:
    asio::steady_timer timer_;
};

} // namespace

struct peer_link::state
{
    state(peer_settings set, event_sink& raised, event_log& events_log)
        : settings(std::move(set)), events(raised), log(events_log)
    {
    }

    /// The sockets end only after the thread that uses them.
    ~state() { thread.stop(); }
    state(state const&) = delete;
    state& operator=(state const&) = delete;

    result<std::uint16_t> listen();
    void send(send_peer const& message);
    asio::awaitable<void> send_stream(tcp::endpoint to, std::string bytes);
    asio::awaitable<void> receive_datagrams();
    asio::awaitable<void> accept();
    asio::awaitable<void> pause_accepting();
    asio::awaitable<void> receive_stream(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<std::optional<std::string>> read_message(tcp::socket& socket);
    void take(std::string_view bytes, std::string const& sender);
    void note_rejected(std::string const& sender, std::string const& reason);

    peer_settings settings;
    event_sink& events;
    event_log& log;
    std::atomic<std::size_t> waiting = 0;
    std::size_t connections = 0;
    std::chrono::steady_clock::time_point last_rejection_log{};
    duty_thread thread;
    udp::socket datagrams{thread.context()};
    tcp::acceptor acceptor{thread.context()};
};

result<std::uint16_t> peer_link::state::listen()
{
    boost::system::error_code failure;
    auto const ip = asio::ip::make_address(settings.listen.address, failure);
    tcp::endpoint const local(ip, settings.listen.port);
    if (!failure)
        acceptor.open(local.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(local, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (!failure)
        datagrams.open(udp::endpoint(ip, 0).protocol(), failure);
    if (!failure)
        datagrams.bind({ip, acceptor.local_endpoint().port()}, failure);
    if (failure)
        return error{error_code::unavailable, "peer.listen",
                     settings.listen.address + ":" + std::to_string(settings.listen.port),
                     failure.message()};
    return acceptor.local_endpoint().port();
}

void peer_link::state::send(send_peer const& message)
{
    boost::system::error_code failure;
    auto const ip = asio::ip::make_address(message.address.address, failure);
    if (failure)
        return;
    auto bytes = encode_peer(settings.cluster_secret, settings.self, message.message);
    if (bytes.size() <= settings.max_datagram_bytes)
        datagrams.send_to(asio::buffer(bytes), {ip, message.address.port}, 0, failure);
    else
        asio::co_spawn(
            thread.context(),
            send_stream(tcp::endpoint(ip, message.address.port), std::move(bytes)),
            asio::detached);
}

asio::awaitable<void> peer_link::state::send_stream(tcp::endpoint to, std::string bytes)
{
    tcp::socket socket(thread.context());
    socket_deadline const deadline(socket, settings.tcp_timeout);
    auto const [refused] = co_await socket.async_connect(to, as_result);
    if (refused)
        co_return;
    auto const prefix = print_length(bytes.size());
    std::array<asio::const_buffer, 2> const parts{asio::buffer(prefix),
                                                  asio::buffer(bytes)};
    co_await asio::async_write(socket, parts, as_result);
}

asio::awaitable<void> peer_link::state::receive_datagrams()
{
    std::string buffer(datagram_buffer_bytes, '\0');
    while (datagrams.is_open())
    {
        udp::endpoint sender;
        auto const [failure, size] = co_await datagrams.async_receive_from(
            asio::buffer(buffer), sender, as_result);
        // An error here is an earlier datagram's "port unreachable".
        if (!failure)
            take(std::string_view(buffer).substr(0, size), sender.address().to_string());
    }
}

asio::awaitable<void> peer_link::state::accept()
{
    while (acceptor.is_open())
    {
        auto [failure, socket] = co_await acceptor.async_accept(as_result);
        if (failure)
            co_await pause_accepting();
        if (failure || connections >= settings.max_connections)
            continue;
        ++connections;
        asio::co_spawn(thread.context(),
                       receive_stream(std::make_shared<tcp::socket>(std::move(socket))),
                       asio::detached);
    }
}

asio::awaitable<void> peer_link::state::pause_accepting()
{
    asio::steady_timer pause(thread.context(), accept_retry);
    co_await pause.async_wait(as_result);
}

asio::awaitable<void>
peer_link::state::receive_stream(std::shared_ptr<tcp::socket> socket)
{
    socket_deadline const deadline(*socket, settings.tcp_timeout);
    boost::system::error_code failure;
    auto const sender = socket->remote_endpoint(failure).address().to_string();
    auto const bytes = co_await read_message(*socket);
    --connections;
    if (bytes)
        take(*bytes, sender);
}

asio::awaitable<std::optional<std::string>>
peer_link::state::read_message(tcp::socket& socket)
{
    length_prefix prefix{};
    auto const [failure, size] =
        co_await asio::async_read(socket, asio::buffer(prefix), as_result);
    std::size_t left = read_length(prefix);
    if (failure || left > max_peer_message_bytes)
        co_return std::nullopt;
    std::string bytes;
    while (left > 0)
    {
        auto const start = bytes.size();
        auto const step = std::min(left, read_step_bytes);
        bytes.resize(start + step);
        auto const [broken, count] = co_await asio::async_read(
            socket, asio::buffer(bytes.data() + start, step), as_result);
        if (broken)
            co_return std::nullopt;
        left -= step;
    }
    co_return bytes;
}

void peer_link::state::take(std::string_view bytes, std::string const& sender)
{
    auto decoded = decode_peer(settings.cluster_secret, bytes);
    if (!succeeded(decoded))
        return note_rejected(sender, to_string(std::get<error>(decoded)));
    auto& envelope = std::get<peer_envelope>(decoded);
    // A full ring drops the message, as the network may.
    static_cast<void>(events.offer(
        peer_received{std::move(envelope.from), std::move(envelope.message)}));
}

void peer_link::state::note_rejected(std::string const& sender, std::string const& reason)
{
    auto const now = std::chrono::steady_clock::now();
    if (now - last_rejection_log < rejection_log_interval)
        return;
    last_rejection_log = now;
    log.write(log_number::peer_message_rejected, sender, reason);
}

peer_link::peer_link(peer_settings settings, event_sink& events, event_log& log)
    : state_(std::make_unique<state>(std::move(settings), events, log))
{
}

peer_link::~peer_link() = default;

result<std::uint16_t> peer_link::listen()
{
    return state_->listen();
}

void peer_link::start()
{
    auto& context = state_->thread.context();
    asio::co_spawn(context, state_->receive_datagrams(), asio::detached);
    asio::co_spawn(context, state_->accept(), asio::detached);
    state_->thread.start();
}

void peer_link::stop()
{
    state_->thread.stop();
}

void peer_link::send(send_peer message)
{
    if (state_->waiting >= state_->settings.max_waiting)
        return;
    ++state_->waiting;
    state_->thread.post(
        [this, message = std::move(message)]
        {
            --state_->waiting;
            state_->send(message);
        });
}

} // namespace carawayturn
