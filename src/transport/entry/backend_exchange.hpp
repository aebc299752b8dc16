#pragma once

#include "platform/request_codec.hpp"
#include "protocol/answer_parser.hpp"
#include "transport/entry/io.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carawayturn::entry
{

namespace http = boost::beast::http;

/// Result of reading a part of an answer.
enum class read_outcome
{
    /// The head or a piece of the body was read; more may follow.
    more,
    /// The answer is complete.
    complete,
    /// Nothing arrived until the time set with set_idle_limit(). The exchange goes on.
    idle,
    /// The connection broke, the answer is malformed, or the deadline passed.
    failed
};

/// What marks the end of an answer's body.
enum class body_framing
{
    /// The head of the answer has not been read.
    unknown,
    length,
    chunks,
    /// The end of the connection.
    connection
};

[[nodiscard]] std::string_view name_of(body_framing framing);

/// One request and its answer on a connection to a backend server.
class backend_exchange
{
public:
    backend_exchange(std::shared_ptr<deadline_socket> socket, std::string request_id);
    /// Closes the connection unless it was released.
    ~backend_exchange();
    backend_exchange(backend_exchange const&) = delete;
    backend_exchange& operator=(backend_exchange const&) = delete;

    /// Writes the request. A long body is written concurrently with reading the answer,
    /// because the server may answer before it has read the whole body. Returns false if
    /// writing failed.
    [[nodiscard]] task<bool> send(http::request_header<> head, std::string_view body);

    /// Reads the head of the answer. Skips answers to other requests. After `idle`, it is
    /// called again; after `more`, it returns `more` again.
    [[nodiscard]] task<read_outcome> read_head();
    [[nodiscard]] http::response_header<> const& head() const { return parser_->get(); }
    /// The facts decoded from the head of the answer.
    [[nodiscard]] platform::answer_metadata const& metadata() const { return metadata_; }

    /// Whether the head of the answer has been read.
    [[nodiscard]] bool head_read() const { return parser_ && parser_->is_header_done(); }
    /// Time since the head of the answer was read; zero if it was not.
    [[nodiscard]] duration time_since_head(time_point now) const;
    /// Records that the server has begun to write the content of its answer: an event of
    /// a stream, or a byte of another body.
    void note_content(time_point now);
    /// Time since the server was first seen to write content; zero if it was not.
    [[nodiscard]] duration time_since_content(time_point now) const;
    /// Whether the whole answer has been read.
    [[nodiscard]] bool answer_read() const { return parser_ && parser_->is_done(); }

    /// Length of the answer's body, if its head states it.
    [[nodiscard]] std::optional<std::uint64_t> length() const;

    [[nodiscard]] body_framing framing() const;
    /// Bytes of the answer's body that have been read.
    [[nodiscard]] std::uint64_t body_bytes() const { return body_bytes_; }
    /// Whether only the end of the connection marks the end of the answer.
    [[nodiscard]] bool ends_with_connection() const { return parser_->need_eof(); }

    /// Reads the next piece of the body. After `more`, body() returns the piece, which
    /// may be empty.
    [[nodiscard]] task<read_outcome> read_body();
    [[nodiscard]] std::string_view body() const { return {piece_.data(), piece_size_}; }

    /// Why the exchange failed, for the log; empty if it did not.
    [[nodiscard]] std::string const& failure() const { return failure_; }
    /// Whether the bytes that were read are no answer.
    [[nodiscard]] bool malformed() const { return malformed_; }
    /// Whether the server or the network ended the connection before the answer was
    /// complete.
    [[nodiscard]] bool connection_broken() const { return connection_broken_; }
    /// Records that an answer was cut by the end of its connection, which alone marks its
    /// end.
    void set_cut(std::string reason)
    {
        failure_ = std::move(reason);
        connection_broken_ = true;
    }
    /// Records why the caller of the exchange rejects the answer.
    void set_failure(std::string reason) { failure_ = std::move(reason); }
    void set_deadline(time_point deadline) { socket_->set_deadline(deadline); }
    /// Ends a read with `idle` if nothing has arrived until then; time_point::max() means
    /// never.
    void set_idle_limit(time_point limit) { idle_limit_ = limit; }
    /// Returns whether bytes of the answer have arrived that the next read can use.
    /// Records an error of the connection, which later reads are not told.
    [[nodiscard]] bool has_unread_input();
    void close() { socket_->close(); }

    /// Releases the connection for another exchange; null if it cannot be reused. Sets
    /// `keep_alive` to how long it may be kept open.
    [[nodiscard]] std::shared_ptr<deadline_socket> take_connection(duration& keep_alive);

private:
    struct upload;
    [[nodiscard]] task<bool> skip_answer();
    void start_parser();
    /// Returns `idle` if the read was interrupted for the idle limit. Otherwise records
    /// the reason and returns `failed`.
    [[nodiscard]] read_outcome failed_read(boost::system::error_code failure);
    void note_failure(boost::system::error_code failure);
    /// Returns the outcome of an answer whose end has been read: `failed` if only the end
    /// of the connection marks it, and the connection did not end in order.
    [[nodiscard]] task<read_outcome> check_end();

    std::shared_ptr<deadline_socket> socket_;
    std::string request_id_;
    boost::beast::flat_buffer buffer_;
    std::optional<answer_parser<http::buffer_body>> parser_;
    platform::answer_metadata metadata_;
    std::array<char, 4096> piece_{};
    std::size_t piece_size_ = 0;
    std::uint64_t body_bytes_ = 0;
    time_point head_read_at_{};
    std::optional<time_point> content_begun_at_;
    std::shared_ptr<upload> upload_;
    bool head_request_ = false;
    /// A read of the head was interrupted, so a part of it may have been read.
    bool head_begun_ = false;
    /// The head of the answer to this request has been read.
    bool answer_found_ = false;
    /// Bytes that were read of the current head.
    std::size_t head_bytes_ = 0;
    std::size_t informational_bytes_ = 0;
    int skipped_answers_ = 0;
    /// The buffer holds only bytes that cannot be parsed before more of them arrive.
    bool buffer_parsed_ = false;
    time_point idle_limit_ = time_point::max();
    /// Error of the connection that has_unread_input() was told.
    boost::system::error_code peek_failure_;
    std::string failure_;
    bool malformed_ = false;
    bool connection_broken_ = false;
    bool complete_ = false;
};

} // namespace carawayturn::entry
