#include "transport/entry/request_input.hpp"

#include "transport/entry/boot_clock.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Maximum number of bytes that one connection reads before others have their turn.
constexpr std::size_t piece_bytes = 4096;
/// A larger buffer is freed once the head has been parsed.
constexpr std::size_t kept_buffer_bytes = 4 * piece_bytes;

std::string_view text_of(boost::beast::flat_buffer const& buffer)
{
    auto const bytes = buffer.data();
    return {static_cast<char const*>(bytes.data()), bytes.size()};
}

} // namespace

request_input::request_input(std::shared_ptr<deadline_socket> socket)
    : socket_(std::move(socket))
{
}

void request_input::begin(time_point now, std::size_t unparsed_limit)
{
    unparsed_limit_ = std::max(unparsed_limit, piece_bytes);
    needs_more_ = empty();
    head_ = {};
    leftover_ = 0;
    parsed_body_bytes_ = 0;
    progress_ = {now, now, buffer_.size(), false};
    head_.count(text_of(buffer_));
}

boost::system::error_code request_input::parse(parser& in)
{
    bool const in_body = in.is_header_done();
    boost::system::error_code failure;
    auto const used = in.put(buffer_.data(), failure);
    buffer_.consume(used);
    if (in_body)
        parsed_body_bytes_ += used;
    needs_more_ = empty() || failure == http::error::need_more;
    if (failure == http::error::need_more)
        failure = {};
    leftover_ = in_body && needs_more_ ? parsed_size(text_of(buffer_)) : 0;
    if (!in_body && in.is_header_done() && buffer_.capacity() > kept_buffer_bytes)
        buffer_.shrink_to_fit();
    if (!failure && in_body && needs_more_ && buffer_.size() >= unparsed_limit_)
        failure = http::error::buffer_overflow;
    return failure;
}

task<boost::system::error_code> request_input::advance(parser& in)
{
    if (!needs_more_)
        co_return parse(in);
    auto const [failure, size] = co_await socket_->socket().async_read_some(
        buffer_.prepare(piece_bytes), use_task);
    if (failure == asio::error::eof)
        co_return make_error_code(http::error::end_of_stream);
    if (failure)
        co_return failure;
    buffer_.commit(size);
    needs_more_ = false;
    progress_.last_input = boot_now();
    progress_.received_bytes += size;
    if (!in.is_header_done())
        head_.count(text_of(buffer_).substr(buffer_.size() - size));
    co_return boost::system::error_code{};
}

bool request_input::framing_exceeded(parser const& in) const
{
    return framing_too_long(parsed_body_bytes_, in.get().body().size());
}

} // namespace carawayturn::entry
