#pragma once

#include "platform/request_codec.hpp"
#include "protocol/entry/event_splitter.hpp"
#include "state/entry/refusal_reason.hpp"
#include "transport/entry/backend_exchange.hpp"
#include "transport/entry/entry_services.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace carawayturn::entry
{

/// Where the answer to a caller goes.
class answer_writer
{
public:
    answer_writer() = default;
    answer_writer(answer_writer const&) = delete;
    answer_writer& operator=(answer_writer const&) = delete;
    virtual ~answer_writer() = default;

    /// Writes a complete answer.
    [[nodiscard]] virtual task<bool> write(http::response_header<> head,
                                           std::string body) = 0;
    /// Begins an answer that is passed on in pieces; `length` is that of its body, if it
    /// is known.
    [[nodiscard]] virtual task<bool> begin(http::response_header<> head,
                                           std::optional<std::uint64_t> length) = 0;
    [[nodiscard]] virtual task<bool> append(std::string_view bytes) = 0;
    /// Ends a begun answer. Without this call it must not look complete to the caller.
    [[nodiscard]] virtual task<bool> end() = 0;
};

/// Way of one request: admission, choice of a backend server, attempts, answer.
class request_flow
{
public:
    request_flow(entry_services& services, http::request<http::string_body>& request,
                 answer_writer& writer, time_point arrival);
    ~request_flow() = default;
    request_flow(request_flow const&) = delete;
    request_flow& operator=(request_flow const&) = delete;

    /// Answers the request. Returns false if the caller's connection cannot be used
    /// further, because an answer ended early or could not be written.
    [[nodiscard]] task<bool> run();

    /// Refuses a request that is not served, for this reason; its body may be unread.
    [[nodiscard]] task<bool> refuse_unserved(refusal_reason reason);

    /// The caller has closed its connection; stops all work for it.
    void abandon();

    /// The instance ends: stops all work, and tells the caller how far the request went.
    void stop();

private:
    /// Answers the load pattern "all machines restart, and callers are there at once":
    /// the configuration and the servers come a moment later.
    [[nodiscard]] task<void> wait_for_initial_state();

    enum class attempt_outcome
    {
        /// The caller got the answer.
        delivered,
        /// The caller's connection is gone.
        caller_gone,
        /// The request surely did not run at this server.
        not_run,
        /// Nothing of it left: the server asked to be left alone in the meantime.
        not_sent,
        /// It may have run; no byte of an answer reached the caller.
        unknown,
        /// A complete failure answer of the server is kept.
        server_failure,
        /// The answer broke off after its head went to the caller.
        broken_off,
        /// The time is over.
        late
    };
    class in_flight_guard;
    struct refusal
    {
        refusal_reason reason = refusal_reason::no_configuration;
        /// Zero for none.
        duration retry_after{};
    };

    [[nodiscard]] static std::string_view name_of(attempt_outcome outcome);
    [[nodiscard]] std::optional<refusal> admit();
    [[nodiscard]] task<std::optional<refusal>> charge_quota();
    [[nodiscard]] task<std::optional<refusal>> spend_units();
    void refund_quota();
    void set_deadlines();
    [[nodiscard]] task<bool> run_attempts();
    [[nodiscard]] task<std::optional<refusal>> choose_server();
    [[nodiscard]] std::optional<refusal> waiting_refusal(backend_choice const& choice,
                                                         time_point waiting_since,
                                                         time_point now) const;
    /// The server that this request may have now, in its turn among those that wait for
    /// the end of a pause.
    [[nodiscard]] backend_choice next_choice(time_point now);
    [[nodiscard]] task<void> wait_for_change(backend_choice const& choice,
                                             time_point now);
    [[nodiscard]] std::uint32_t priority() const;
    [[nodiscard]] task<attempt_outcome> run_attempt();
    [[nodiscard]] task<attempt_outcome> exchange_on(backend_connection connection);
    [[nodiscard]] task<attempt_outcome>
    receive_answer(platform::answer_metadata metadata);
    /// Passes on an answer that is too long to be kept, as it arrives.
    [[nodiscard]] task<attempt_outcome> relay_answer();
    /// Gives the connection back for the next request, if the exchange left it usable.
    void release_connection();
    [[nodiscard]] attempt_outcome handle_delivery();
    [[nodiscard]] task<attempt_outcome> relay_stream();
    [[nodiscard]] task<attempt_outcome> finish_stream();
    [[nodiscard]] attempt_outcome failure_outcome() const;
    [[nodiscard]] attempt_outcome
    handle_rejection(platform::answer_metadata const& metadata);
    [[nodiscard]] bool may_repeat(attempt_outcome outcome);
    [[nodiscard]] task<bool> answer_after(attempt_outcome outcome);
    [[nodiscard]] task<bool> refuse(refusal why);
    /// Whether the request may run again after an attempt with an unknown outcome.
    [[nodiscard]] bool another_run_allowed() const;
    [[nodiscard]] time_point first_byte_deadline() const;
    /// When a stream whose last event came at `progress` is moved to another server.
    [[nodiscard]] time_point stall_deadline(time_point progress) const;
    [[nodiscard]] backend_requirements criteria() const;
    void log_end(std::string_view outcome, unsigned status);
    /// Ends whatever the request waits for.
    void interrupt();
    /// Answers that the request may have run.
    [[nodiscard]] task<bool> refuse_unknown_outcome();
    /// Whether the attempt ended by no fault of the server.
    [[nodiscard]] bool interrupted() const { return abandoned_ || stopped_; }

    entry_services& services_;
    http::request<http::string_body>& request_;
    answer_writer& writer_;
    time_point arrival_;
    platform::request_head head_;
    std::shared_ptr<serving_config const> config_;
    serving_route const* route_ = nullptr;
    service_config const* service_ = nullptr;
    organisation const* organisation_ = nullptr;
    /// Equal for repeats of the same request.
    std::uint64_t signature_ = 0;
    /// What the request costs of the organisation's quota.
    double units_ = 0;
    bool charged_ = false;
    /// End of all work.
    time_point deadline_{};
    /// Until then the first event or the answer has to begin.
    time_point start_deadline_{};
    /// Its place among the requests that wait for the end of a pause.
    std::optional<wait_queue_entry> waiting_place_;
    /// Wakes the request in that order.
    change_signal turn_signal_;
    bool abandoned_ = false;
    /// The instance ends before the request is answered.
    bool stopped_ = false;
    /// Attempts that may have run, and all that were sent.
    std::uint32_t runs_ = 0;
    std::uint32_t sends_ = 0;
    std::set<std::string> excluded_;
    backend_record server_;
    std::unique_ptr<backend_exchange> exchange_;
    /// The connection to a server that is being opened.
    std::weak_ptr<deadline_socket> connecting_;
    bool stream_begun_ = false;
    time_point last_event_{};
    duration first_event_after_{};
    duration longest_gap_{};
    event_splitter events_;
    http::response_header<> answer_head_;
    std::string answer_body_;
    bool answer_buffered_ = false;
    /// The head of a long answer went to the caller.
    bool answer_begun_ = false;
};

} // namespace carawayturn::entry
