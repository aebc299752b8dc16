#pragma once

#include "platform/request_codec.hpp"
#include "transport/entry/io.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace carawayturn::entry
{

namespace http = boost::beast::http;

/// How reading an answer went on.
enum class read_outcome
{
    /// The head, or a piece of the body, is there.
    more,
    /// The answer is complete.
    complete,
    /// The connection broke, the answer is malformed, or the deadline passed.
    failed
};

/// One request and its answer on one connection to a backend server.
class backend_exchange
{
public:
    backend_exchange(std::shared_ptr<deadline_socket> socket, std::string request_id);

    /// Writes the request. A long body is written while the answer is read, because the
    /// server may answer before it has read everything.
    [[nodiscard]] task<bool> send(http::request_header<> head, std::string_view body);

    /// Reads the head of the answer; answers to other requests are skipped.
    [[nodiscard]] task<read_outcome> read_head();
    [[nodiscard]] http::response_header<> const& head() const { return parser_->get(); }
    /// What the head says of the answer.
    [[nodiscard]] platform::answer_metadata const& metadata() const { return metadata_; }

    /// Length of the answer's body, if its head tells.
    [[nodiscard]] std::optional<std::uint64_t> length() const;

    /// Reads on; on `more` body() holds the next piece, which may be empty.
    [[nodiscard]] task<read_outcome> read_body();
    [[nodiscard]] std::string_view body() const { return {piece_.data(), piece_size_}; }

    /// Why reading or writing failed, for the log; empty if it did not.
    [[nodiscard]] std::string const& failure() const { return failure_; }
    /// Notes why the answer is not used.
    void set_failure(std::string reason) { failure_ = std::move(reason); }
    void set_deadline(time_point deadline) { socket_->set_deadline(deadline); }
    void close() { socket_->close(); }

    /// Hands out the connection if the exchange ended so that another may follow; `keep`
    /// is how long the server keeps it open.
    [[nodiscard]] std::shared_ptr<deadline_socket> take_connection(duration& keep_alive);

private:
    struct upload;
    [[nodiscard]] task<bool> skip_answer();
    void start_parser();
    void note_failure(boost::system::error_code failure);

    std::shared_ptr<deadline_socket> socket_;
    std::string request_id_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    platform::answer_metadata metadata_;
    std::array<char, 4096> piece_{};
    std::size_t piece_size_ = 0;
    std::shared_ptr<upload> upload_;
    bool head_request_ = false;
    std::string failure_;
    bool complete_ = false;
};

} // namespace carawayturn::entry
