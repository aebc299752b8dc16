#pragma once

#include "coordination/entry/end_confirmation.hpp"
#include "platform/request_codec.hpp"
#include "protocol/entry/event_splitter.hpp"
#include "protocol/entry/stream_continuation.hpp"
#include "state/entry/refusal_reason.hpp"
#include "transport/entry/backend_exchange.hpp"
#include "transport/entry/entry_services.hpp"
#include "transport/entry/in_flight_guard.hpp"
#include "transport/entry/stream_registry.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace carawayturn::entry
{

/// Writes the answer to one caller.
class answer_writer
{
public:
    answer_writer() = default;
    answer_writer(answer_writer const&) = delete;
    answer_writer& operator=(answer_writer const&) = delete;
    virtual ~answer_writer() = default;

    /// Writes a complete answer. Returns false if the connection failed.
    [[nodiscard]] virtual task<bool> write(http::response_header<> head,
                                           std::string body) = 0;
    /// Writes the head of an answer whose body follows in pieces. `length` is the length
    /// of the body, if it is known.
    [[nodiscard]] virtual task<bool> begin(http::response_header<> head,
                                           std::optional<std::uint64_t> length) = 0;
    [[nodiscard]] virtual task<bool> append(std::string_view bytes) = 0;
    /// Ends an answer that begin() started. Without this call the answer must not look
    /// complete to the caller.
    [[nodiscard]] virtual task<bool> end() = 0;
    /// Whether the connection was closed here because a deadline passed, and not by the
    /// caller.
    [[nodiscard]] virtual bool timed_out() const = 0;
};

/// Why a request is not sent again after an attempt, for the log.
enum class repeat_denial : std::uint8_t
{
    /// No attempt has ended yet, or another one followed.
    none,
    /// The outcome is final, for example because the answer was delivered.
    final_outcome,
    /// The route allows no further run.
    runs_used,
    /// The request was sent as often as one request may be.
    sends_used,
    /// A long answer has begun, which no other run can continue.
    answer_begun,
    /// No id tells where another run would have to continue the stream.
    stream_not_resumable,
    /// It is not known at which software version the stream would have to go on.
    version_unknown,
    /// Servers crashed while they ran the request.
    crashes_servers,
    deadline_passed,
    retry_budget,
    no_server,
    stopping
};

[[nodiscard]] std::string_view name_of(repeat_denial denial);

/// Handles one request: admission, choice of a backend server, attempts and answer.
class request_flow
{
public:
    request_flow(entry_services& services, http::request<http::string_body>& request,
                 answer_writer& writer, time_point arrival);
    ~request_flow() = default;
    request_flow(request_flow const&) = delete;
    request_flow& operator=(request_flow const&) = delete;

    /// Answers the request. Returns false if the caller's connection cannot be reused,
    /// because an answer ended early or could not be written.
    [[nodiscard]] task<bool> run();

    /// Refuses the request without serving it. The request's body need not have been
    /// read.
    [[nodiscard]] task<bool> refuse_unserved(refusal_reason reason);

    /// Stops all work on the request because the caller has closed its connection.
    void abandon();

    /// Whether the head of the answer has been sent and the rest follows.
    [[nodiscard]] bool answer_begun() const { return stream_begun_ || answer_begun_; }

    /// Stops all work because the instance shuts down. The answer tells the caller
    /// whether the request may have run.
    void stop();

private:
    /// Waits for the configuration and the list of servers if they have not been read
    /// yet. Answers the load pattern "all machines restart, and callers are there at
    /// once", in which the first requests would otherwise be refused.
    [[nodiscard]] task<void> wait_for_initial_state();

    enum class attempt_outcome
    {
        /// The caller received the answer.
        delivered,
        /// The caller closed its connection.
        caller_gone,
        /// The request certainly did not run at this server.
        not_run,
        /// Nothing was sent: while the connection was being opened, the server asked for
        /// a pause, announced that it is leaving, was evacuated, or became cold without a
        /// slot for the request.
        not_sent,
        /// The request may have run; no byte of an answer reached the caller.
        unknown,
        /// The server sent a complete answer with an error status, which is buffered.
        server_failure,
        /// The answer broke off after its head was sent to the caller.
        broken_off,
        /// The deadline passed.
        late,
        /// The server was silent, and another one has taken the request over.
        handed_over
    };
    /// An attempt whose server is silent. It is kept while another server is asked to
    /// take the request over, and goes on if that server does not.
    struct silent_attempt
    {
        backend_record server;
        std::unique_ptr<in_flight_guard> in_flight;
        std::unique_ptr<backend_exchange> exchange;
        time_point last_received;
        event_splitter events;
        stream_continuation continuation;
        http::response_header<> answer_head;
        bool run_begun;
        std::string resumed_after;
    };
    /// What the log line of an attempt that has ended is made of.
    struct ended_attempt
    {
        backend_record const& server;
        time_point last_received;
        /// Null if there was no connection.
        backend_exchange const* exchange;
        event_splitter const& events;
        stream_continuation const& continuation;
        std::string const& resumed_after;
    };
    struct buffered_answer
    {
        http::response_header<> head;
        std::string body;
    };
    struct refusal
    {
        refusal_reason reason = refusal_reason::no_configuration;
        /// Value of the Retry-After header; zero for no header.
        duration retry_after{};
    };

    [[nodiscard]] static std::string_view name_of(attempt_outcome outcome);
    [[nodiscard]] std::optional<refusal> admit();
    /// Finds the version at which the stream began that the caller takes up, so that it
    /// goes on only there. Refuses a take-up whose version is not known.
    [[nodiscard]] task<std::optional<refusal>> find_stream_version();
    /// Logs what was known of the versions, of which age, when the version of the stream
    /// was looked for.
    void log_take_up(stream_lookup const& found);
    /// Logs the same for a server to which the stream does not go on.
    /// @param since as of when the versions had to be known.
    void log_kept_back(std::string_view reason, time_point since);
    /// Sends the request to this service if the route does. Returns whether it does.
    [[nodiscard]] bool use_service(std::string const& name);
    /// Records at which version the stream begins.
    void note_stream_begun();
    /// Whether the stream may go on: its version is known, or no server states one. A
    /// stream that the caller has taken up goes on at the version that was found then.
    [[nodiscard]] bool version_known() const;
    /// Whether the chosen server's process has the version that the request requires,
    /// which its record states. Another process may have taken the server's id. What was
    /// read before the request arrived, or before its stream broke off, does not count.
    [[nodiscard]] task<bool> has_required_version();
    [[nodiscard]] task<std::optional<refusal>> charge_quota();
    [[nodiscard]] task<std::optional<refusal>> spend_units();
    /// Spends units, and waits for them until `latest` if the hub expects to have some.
    [[nodiscard]] task<std::optional<refusal>> wait_for_units(time_point latest);
    [[nodiscard]] task<std::optional<quota_reply>> ask_for_units(quota_rank rank);
    /// Whether the request no longer waits for units.
    [[nodiscard]] bool quota_wait_ended() const
    {
        return interrupted() || services_.draining();
    }
    /// Takes the granted units, or returns why the request cannot use them.
    [[nodiscard]] std::optional<refusal> accept_reply(quota_reply const& reply,
                                                      quota_rank rank);
    /// Refuses a request that the quota does not pay for.
    [[nodiscard]] refusal refuse_for_quota(refusal_reason reason, duration retry_after,
                                           quota_rank rank);
    void refund_quota();
    void set_deadlines();
    void set_crash_signatures();
    /// Whether the request must not be sent, because servers crash under it. Records that
    /// it came.
    [[nodiscard]] bool blocked_for_crashes() const;
    /// Why no further attempt follows if no server was chosen for this reason.
    [[nodiscard]] repeat_denial denial_after(refusal_reason reason) const;
    /// Records that the attempt's connection broke, if it did, and lets the server be
    /// checked. A run that has gone on for a while is not suspected.
    void note_broken_connection();
    [[nodiscard]] task<bool> run_attempts();
    [[nodiscard]] task<std::optional<refusal>> choose_server();
    /// Waits after a pause of the process until it is known again which failure domains
    /// are evacuated. Refuses a request with a key if the configuration is too old then.
    [[nodiscard]] task<std::optional<refusal>> refresh_evacuations();
    [[nodiscard]] std::optional<refusal> waiting_refusal(backend_choice const& choice,
                                                         time_point waiting_since,
                                                         time_point now) const;
    /// Chooses a server for the request. Requests that wait for the end of a server's
    /// pause or for room at a server get one in the order of the wait_queue.
    [[nodiscard]] backend_choice next_choice(time_point now);
    /// Name under which times of service are kept for requests like this one.
    [[nodiscard]] std::string work_kind() const;
    [[nodiscard]] admission_request admission_terms() const;
    /// Returns in which time the caller of a refused request should return.
    [[nodiscard]] duration return_time(backend_choice const& choice,
                                       time_point now) const;
    /// Returns why a waiting request has to leave the queue, if it has to.
    [[nodiscard]] std::optional<refusal> queue_refusal(backend_choice const& last_choice,
                                                       time_point now);
    void leave_queue(time_point now);
    /// Records for the queue whether the request got a server.
    void note_admission(std::optional<refusal> const& refused);
    void note_sending(time_point now);
    /// Records the times of an answered request.
    void note_run_time();
    /// Records for the counts of crashes that the server has answered the request.
    void note_complete_answer(bool success);
    [[nodiscard]] task<void> wait_for_change(backend_choice const& choice,
                                             time_point now);
    [[nodiscard]] std::uint32_t priority() const;
    [[nodiscard]] task<attempt_outcome> run_attempt();
    /// Sends the request to the server and reads the head of its answer. Returns the
    /// outcome if that ends the attempt.
    [[nodiscard]] task<std::optional<attempt_outcome>> begin_attempt();
    /// Returns whether the request may be sent to the server now, which may be cold.
    [[nodiscard]] bool use_cold_slot(time_point now);
    [[nodiscard]] task<std::optional<attempt_outcome>>
    exchange_heads(backend_connection connection);
    /// Reads the head of the answer. Returns `idle` if a silent server has gone on in the
    /// meantime.
    [[nodiscard]] task<read_outcome> read_answer_head();
    void log_attempt(attempt_outcome outcome, ended_attempt const& attempt);
    [[nodiscard]] task<attempt_outcome> receive_answer();
    /// Buffers the body of the answer. Returns `more` if it is too long or there is no
    /// memory for more of it.
    [[nodiscard]] task<read_outcome> buffer_body();
    /// Ends an attempt whose answer has a status that the caller would take as a promise
    /// that the request has not run. The server did not give that promise, so the answer
    /// is not forwarded. The head decides this, whatever the body is.
    [[nodiscard]] task<attempt_outcome> reject_promise();
    /// Reads the rest of an answer that is not forwarded, so that its connection can be
    /// reused. A long or slow body is left unread, and the connection is then closed.
    [[nodiscard]] task<void> discard_body();
    /// Whether the answer's head lets it continue the stream that has begun. If not,
    /// records the reason as the exchange's failure.
    [[nodiscard]] bool continues_stream() const;
    void set_continuation_failure(continuation_fault fault) const;
    /// Ends an attempt whose answer does not continue the stream.
    [[nodiscard]] attempt_outcome reject_continuation(continuation_fault fault);
    /// Forwards an answer that is too long to buffer, piece by piece as it arrives.
    [[nodiscard]] task<attempt_outcome> relay_answer();
    /// Adjusts the reserved memory to the parts of answers that the request holds.
    /// Returns false if the memory for the answers of all requests does not suffice.
    [[nodiscard]] bool reserve_answer_memory();
    /// Whether the stream exceeds the limit for a whole answer, or the events that are
    /// held exceed the limit for one event or the memory for answers. If so, records that
    /// as the exchange's failure.
    [[nodiscard]] bool stream_exceeds_limits();
    /// Returns the connection for reuse if the exchange left it usable.
    void release_connection();
    [[nodiscard]] attempt_outcome handle_delivery();
    [[nodiscard]] task<attempt_outcome> relay_stream();
    /// Prepares for the body of a stream whose head has been read.
    void begin_run();
    [[nodiscard]] task<bool> begin_stream();
    /// Whether the server counts as silent, which it does from `silent_at` on.
    [[nodiscard]] bool is_silent(time_point silent_at);
    /// Reserves a server and a place in the retry budget for another run, because the
    /// current server is silent. Returns why that is not possible; the exchange then goes
    /// on.
    [[nodiscard]] repeat_denial reserve_next_run(time_point now);
    /// Returns another server that can take the request over now, if there is one.
    [[nodiscard]] std::optional<backend_record> find_next_server(time_point now) const;
    /// Reserves the next run, logs the result, and marks a server that keeps the request.
    [[nodiscard]] bool may_leave_silent_server();
    void log_silence(repeat_denial denial, time_point now);
    /// Moves a request whose server is silent to another server, if that one accepts it.
    /// Returns whether the request was moved.
    [[nodiscard]] task<bool> hand_over();
    /// Sends the request to the reserved server while its present one is kept, and goes
    /// on with the one that answers first. Returns whether that is the reserved one.
    [[nodiscard]] task<bool> ask_reserved_server();
    /// Whether requests like this one are hedged: idempotent ones to servers without
    /// models, if the operators set a share.
    [[nodiscard]] bool may_be_hedged() const;
    /// When the request is hedged if its server has not answered; never, if it is not.
    [[nodiscard]] time_point hedge_time() const;
    /// Reserves a server, a place in the retry budget and one of the route's hedged
    /// requests. Returns whether all of them were available.
    [[nodiscard]] bool reserve_hedge(time_point now);
    /// Sends the request to a second server too, if the limits allow it. Returns whether
    /// that server answered first.
    [[nodiscard]] task<bool> hedge();
    /// Waits for the first event of the server that is asked to take a stream over.
    /// Returns whether that server takes it over, which it also does if no event has
    /// arrived within a limited time.
    [[nodiscard]] task<bool> receive_first_event();
    /// Returns whether the next server takes the stream over, given what was read from
    /// it; nothing if that is not known yet. Records a failure of that server.
    [[nodiscard]] std::optional<bool> check_first_events(read_outcome read);
    /// Reads what the silent server has sent while another one is asked. If it goes on,
    /// records that as the failure of the other one's exchange and returns true.
    [[nodiscard]] task<bool> check_silent_server();
    /// Reads what has arrived of a silent server's head. Returns whether that may become
    /// an answer, and closes the exchange otherwise.
    [[nodiscard]] task<bool> read_silent_head(backend_exchange& exchange);
    /// Reads what has arrived of the silent server's stream. Returns whether that is an
    /// event with data or the end of the answer; comments and parts of events are kept.
    [[nodiscard]] task<bool> read_silent_stream(silent_attempt& silent);
    /// Whether the head of the answer is one that may be passed on.
    [[nodiscard]] bool accepts_answer() const;
    void leave_server(silent_attempt& silent);
    /// Goes on with the silent server, because the other one did not accept the request.
    void return_to_server(silent_attempt& silent, attempt_outcome outcome);
    [[nodiscard]] task<attempt_outcome> finish_stream();
    /// Whether a stream that ended with its connection ended because its server's process
    /// did, which closes the connection like the end of a stream. If so, records that as
    /// the exchange's failure.
    [[nodiscard]] task<bool>
    server_ended_with_stream(stream_continuation const& continuation);
    /// Whether the answer on a streaming route is an event stream. Servers may omit its
    /// Content-Type or send another one, so its body counts too.
    [[nodiscard]] bool holds_events(stream_continuation const& continuation) const;
    /// Whether the head of the answer says that its body holds events: it is an event
    /// stream, or has a body of an unknown type.
    [[nodiscard]] bool head_announces_events() const;
    /// Whether the answer ended where a stream does not end: inside an event, or before
    /// one. If so, records the reason as the exchange's failure.
    [[nodiscard]] bool stream_cut_short(stream_continuation const& continuation);
    /// Returns why the end of an answer without an event is not the end of the stream;
    /// `none` if it is.
    [[nodiscard]] continuation_fault
    find_end_fault(stream_continuation const& continuation);
    [[nodiscard]] attempt_outcome failure_outcome() const;
    [[nodiscard]] attempt_outcome
    handle_rejection(platform::answer_metadata const& metadata);
    [[nodiscard]] bool may_repeat(attempt_outcome outcome);
    /// Returns what forbids another attempt; does not ask the retry budget.
    [[nodiscard]] repeat_denial find_repeat_denial(attempt_outcome outcome,
                                                   time_point now) const;
    /// Whether a failure that is too long to buffer can be given up, because another run
    /// is allowed, within the retry budget, and a server is there for it.
    [[nodiscard]] bool another_server_can_run() const;
    [[nodiscard]] task<bool> answer_after(attempt_outcome outcome);
    [[nodiscard]] task<bool> refuse(refusal why);
    /// Whether the request may run again after an attempt with an unknown outcome.
    [[nodiscard]] bool another_run_allowed() const;
    /// When a server that has not begun to answer counts as silent.
    [[nodiscard]] time_point first_byte_limit() const;
    /// When a server that has begun a stream counts as silent. `progress` is the time of
    /// its last event with data or an id.
    [[nodiscard]] time_point stall_limit(time_point progress) const;
    [[nodiscard]] backend_requirements criteria() const;
    void log_end(std::string_view outcome, unsigned status);
    /// Logs that the caller's connection ended before the answer did.
    void log_caller_gone();
    /// Cancels every wait and transfer of the request.
    void interrupt();
    /// Refuses the request with a reason that says that it may have run.
    [[nodiscard]] task<bool> refuse_unknown_outcome();
    /// Whether the caller or the shutdown interrupted the request. The server is then not
    /// at fault if an attempt fails.
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
    /// What crashes of servers under the request are counted for.
    crash_signatures crash_signatures_;
    /// The caller takes a stream up again that broke off.
    bool resumes_stream_ = false;
    /// Units of the organisation's quota that the request costs.
    double units_ = 0;
    bool charged_ = false;
    time_point charged_at_{};
    /// How long the request waited for these units.
    duration quota_wait_{};
    /// All work on the request ends at this time.
    time_point deadline_{};
    /// The first event or the answer has to begin before this time.
    time_point start_deadline_{};
    /// Place in the queue of requests that wait for the end of a server's pause or for
    /// room at a server.
    std::optional<wait_queue_entry> waiting_place_;
    time_point waiting_since_{};
    /// Time spent in that queue, and the start that was expected when it was entered.
    duration queue_wait_{};
    std::optional<duration> expected_start_;
    /// Notified when the request reaches the front of that queue.
    change_signal turn_signal_;
    bool abandoned_ = false;
    /// The instance shuts down before the request is answered.
    bool stopped_ = false;
    /// Attempts that may have run (`runs_`), and all that were sent (`sends_`).
    std::uint32_t runs_ = 0;
    std::uint32_t sends_ = 0;
    std::set<std::string> excluded_;
    repeat_denial denial_ = repeat_denial::none;
    /// When the server of the current attempt last sent something of its answer; the
    /// time at which the request was sent before that.
    time_point last_received_{};
    backend_record server_;
    /// When the request was sent, what its server had to do then, and when the head of
    /// the answer arrived.
    time_point sent_at_{};
    server_occupancy occupancy_at_sending_;
    time_point head_received_at_{};
    std::unique_ptr<in_flight_guard> in_flight_;
    std::unique_ptr<backend_exchange> exchange_;
    /// Set while another server is asked to take the request over.
    std::optional<silent_attempt> silent_;
    /// The server that is to take the request over; the retry budget has paid for it.
    std::optional<backend_record> reserved_server_;
    /// The request has been hedged, or was denied it.
    bool hedge_decided_ = false;
    /// The server in `silent_` has not failed; the request was hedged.
    bool hedging_ = false;
    /// The latest logged reason for which a silent server keeps the request.
    std::optional<repeat_denial> logged_silence_;
    /// When the server counted as silent although unread bytes had arrived from it.
    std::optional<time_point> unread_since_;
    /// The connection that is being opened to a server.
    std::weak_ptr<deadline_socket> connecting_;
    bool stream_begun_ = false;
    time_point last_event_{};
    duration first_event_after_{};
    duration longest_gap_{};
    event_splitter events_;
    stream_continuation continuation_;
    /// Software version at which the stream began; empty if it is not known, and nothing
    /// before the stream has begun.
    std::optional<std::string> version_;
    /// How the version of a stream that the caller takes up became known.
    std::optional<version_source> version_source_;
    /// Neither the hub nor the store could tell whether the stream may go on.
    bool version_denied_ = false;
    end_confirmation end_;
    http::response_header<> answer_head_;
    /// begin_run() was called for the current exchange.
    bool run_begun_ = false;
    /// Id of the event after which the current attempt was asked to go on; empty if it
    /// begins the stream.
    std::string resumed_after_;
    std::string answer_body_;
    byte_reservation answer_memory_;
    /// The latest complete answer with an error status of a server.
    std::optional<buffered_answer> failure_answer_;
    /// The head of a long answer has been sent to the caller.
    bool answer_begun_ = false;
};

} // namespace carawayturn::entry
