#pragma once

#include "transport/entry/boot_clock.hpp"
#include "transport/entry/caller_connections.hpp"
#include "transport/entry/entry_services.hpp"
#include "transport/entry/request_flow.hpp"
#include "transport/entry/request_input.hpp"

#include <memory>
#include <optional>
#include <string>

// Shared by the files that implement caller_session: caller_session.cpp serves requests,
// caller_reading.cpp reads them.
namespace carawayturn::entry
{

/// One caller's connection: reads its requests and writes the answers.
class caller_session final : public answer_writer, public caller_connection
{
public:
    caller_session(entry_services& services, tcp_socket socket, std::string peer)
        : caller_connection(services.callers), services_(services),
          peer_(std::move(peer)), socket_(std::make_shared<deadline_socket>(
                                      services.deadlines, std::move(socket))),
          input_(socket_)
    {
    }

    /// Closes the socket, so that watch_caller(), which shares it, ends too.
    ~caller_session() override { socket_->close(); }

    task<void> run();

    task<bool> write(http::response_header<> head, std::string body) override;
    task<bool> begin(http::response_header<> head,
                     std::optional<std::uint64_t> length) override;
    task<bool> append(std::string_view bytes) override;
    task<bool> end() override;
    bool timed_out() const override { return socket_->expired(); }

    time_point idle_since() const override { return idle_since_; }
    bool no_pending_input() override { return open_and_idle(socket_->socket()); }
    void close() override { socket_->close(); }
    void stop(stop_scope scope) override;
    std::optional<request_progress> progress() override;
    bool holds_memory() const override;

private:
    using parser = request_input::parser;

    /// What the current request holds of the shares of memory.
    struct request_memory
    {
        explicit request_memory(entry_services& services)
            : body(services.bodies, free_body_bytes),
              head(services.heads, free_head_bytes)
        {
        }
        byte_reservation body;
        byte_reservation head;
    };

    [[nodiscard]] caller_limits limits() const;
    [[nodiscard]] task<bool> wait_for_request();
    [[nodiscard]] task<bool> read_request(parser& in);
    /// Reads the head of a request; returns false if the request has been ended.
    [[nodiscard]] task<bool> read_head(parser& in);
    [[nodiscard]] task<bool> read_body(parser& in);
    /// Grows the reservation, and closes stalled requests if its share is used up.
    [[nodiscard]] task<bool> reserve(byte_reservation& reservation, std::uint64_t bytes,
                                     client_share share);
    /// Reserves memory for the head and unparsed input; ends the request without it.
    [[nodiscard]] task<bool> reserve_input(parser& in);
    /// Frees the body of a request that will not be served, before the rest is discarded.
    void release_body(http::request<http::string_body>& request);
    /// Refuses a request without serving it. The request's body need not have been read.
    [[nodiscard]] task<bool> refuse(http::request<http::string_body>& request,
                                    refusal_reason reason);
    /// Ends a request that could not be read completely, because of a limit or as in
    /// handle_incomplete_request().
    [[nodiscard]] task<bool> end_unread_request(parser& in,
                                                boost::system::error_code failure);
    /// Ends a request that could not be read completely: refuses it if the instance shuts
    /// down, answers malformed input with status 400, or returns without an answer.
    [[nodiscard]] task<bool> handle_incomplete_request(parser& in,
                                                       boost::system::error_code failure);
    task<void> discard_rest();
    /// Answers a malformed or oversized request with this status and ends the connection.
    /// @param fault name of the framing fault, for the log.
    [[nodiscard]] task<bool> reject(unsigned status, std::string_view fault = {});
    [[nodiscard]] task<bool> serve(http::request<http::string_body>& request,
                                   time_point arrival);
    void set_persistence(http::response_header<>& head);
    static task<void> watch_caller(std::shared_ptr<deadline_socket> socket,
                                   std::weak_ptr<request_flow> flow);

    entry_services& services_;
    std::string peer_;
    std::shared_ptr<deadline_socket> socket_;
    request_input input_;
    std::optional<request_memory> memory_;
    /// The request that is being served.
    std::weak_ptr<request_flow> flow_;
    /// When reading of the current request began. A pipelined request's first byte may
    /// have arrived earlier.
    time_point first_byte_{};
    time_point idle_since_ = boot_now();
    /// Since when a complete answer is being written; absent while a server may run the
    /// request.
    std::optional<time_point> answering_since_;
    time_point closing_since_{};
    /// The instance shuts down, so a request that is being read is refused.
    bool stopping_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    /// The caller uses HTTP/1.0, which has no chunked transfer encoding.
    bool http_1_0_ = false;
    /// The current answer is sent with chunked transfer encoding.
    bool chunked_ = false;
};

} // namespace carawayturn::entry
