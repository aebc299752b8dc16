#pragma once

#include "coordination/entry/client_limits.hpp"
#include "transport/entry/io.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>

namespace carawayturn::entry
{

namespace http = boost::beast::http;

/// Reads the requests of one caller's connection in small pieces, so that the memory that
/// a piece may take can be reserved before it is parsed, and other connections have their
/// turn after each piece.
class request_input
{
public:
    using parser = http::request_parser<http::string_body>;

    explicit request_input(std::shared_ptr<deadline_socket> socket);

    /// Whether no input has been read that is not parsed.
    [[nodiscard]] bool empty() const { return buffer_.size() == 0; }
    /// Number of bytes that have been read and are not parsed.
    [[nodiscard]] std::size_t unparsed() const { return buffer_.size(); }
    /// Frees the buffer if it is empty. An idle connection uses no buffer memory.
    void release_buffer() { buffer_.shrink_to_fit(); }

    /// Begins the next request. `unparsed_limit` bounds chunk extensions and trailers,
    /// for which the parser has no limit.
    void begin(time_point now, std::size_t unparsed_limit);
    /// Parses the input that has been read or, if the parser needs more, reads a piece,
    /// which the next call parses. Returns buffer_overflow if an element exceeds the
    /// limit of begin().
    [[nodiscard]] task<boost::system::error_code> advance(parser& in);

    /// Estimate of the memory that the head and unparsed input take.
    [[nodiscard]] std::uint64_t memory() const { return head_.bytes() + leftover_; }
    /// Whether the framing of the body is too long for its content.
    [[nodiscard]] bool framing_exceeded(parser const& in) const;
    /// What has been received of the current request. Tells nothing of waiting input.
    [[nodiscard]] request_progress const& progress() const { return progress_; }

private:
    [[nodiscard]] boost::system::error_code parse(parser& in);

    std::shared_ptr<deadline_socket> socket_;
    boost::beast::flat_buffer buffer_;
    std::size_t unparsed_limit_ = 0;
    /// The parser needs more than the buffer holds.
    bool needs_more_ = true;
    head_memory head_;
    /// Estimate for an element of the body that is not complete.
    std::uint64_t leftover_ = 0;
    std::uint64_t parsed_body_bytes_ = 0;
    request_progress progress_;
};

} // namespace carawayturn::entry
