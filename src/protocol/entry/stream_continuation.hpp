#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayturn::entry
{

/// Why the answer of another run does not continue a stream that has begun.
enum class continuation_fault : std::uint8_t
{
    none,
    /// The status differs from the one that the caller has received.
    status,
    /// The media type differs from the one that the caller has received.
    media_type,
    /// The body has a content coding.
    content_coding,
    /// The backend server's signature is missing.
    signature,
    /// No id tells whether the caller already has the event.
    event_id_missing,
    /// The order of the event and those that the caller has is unknown.
    event_id_not_numeric,
    /// The caller already has the event, or the run started over.
    event_id_not_greater,
    /// The answer ended without an event, and nothing confirms that none is left.
    no_event
};

[[nodiscard]] std::string_view name_of(continuation_fault fault);

/// What the head of an answer says about its body.
struct answer_form
{
    unsigned status = 0;
    /// Value of the Content-Type header; empty if there is none.
    std::string_view content_type;
    bool signed_by_server = false;
    /// The body has a Content-Encoding.
    bool encoded = false;
};

/// Returns whether a Content-Type header names the media type text/event-stream.
[[nodiscard]] bool is_event_stream(std::string_view content_type);

/// Returns whether the bytes hold more of an event than comments and blank lines.
[[nodiscard]] bool has_event_content(std::string_view bytes);

/// Returns whether the bytes begin like an event: with one of its fields, or with a part
/// of a field's name if they end there.
[[nodiscard]] bool begins_event(std::string_view bytes);

/// Returns why the body of an answer cannot continue a stream that began with the head
/// `begun`. Only the status and the content type of `begun` are compared.
[[nodiscard]] continuation_fault find_head_fault(answer_form const& begun,
                                                 answer_form const& answer);

/// Limit for the length of an id after which a stream is resumed, in bytes. The id is
/// sent in a header.
inline constexpr std::size_t max_resume_id_bytes = 256;

struct event_fields;

/// Events of which the first `bytes` may be passed on to the caller.
struct accepted_events
{
    std::size_t bytes = 0;
    /// Why the event after them does not continue the stream.
    continuation_fault fault = continuation_fault::none;
};

/// Keeps the id up to which the caller has received a text/event-stream, and checks that
/// the events of a run that resumes the stream follow that id.
///
/// A stream may only be resumed after an id that covers everything that was passed on:
/// another run would repeat events that have no id, or join its own to them. The ids of a
/// stream increase and are compared as decimal numbers of any length. The order of other
/// ids is unknown: one that merely differs from the last id may be that of any earlier
/// event.
class stream_continuation
{
public:
    /// Takes over a stream of which the caller has received the events up to `last_id`,
    /// at another instance or in an earlier request. The events of the first run are
    /// checked then, unless the id is one whose order is unknown.
    void take_up(std::string const& last_id);

    /// Begins the events of another run, which was asked for the events after last_id().
    /// Without that id, the run starts from the beginning and its events are not checked.
    void begin_run();

    /// Takes complete events of the current run and returns how many of them may be
    /// passed on. The events of a run that begins the stream are passed on as they are.
    [[nodiscard]] accepted_events accept(std::string_view events);

    /// Returns whether the current run has sent no event.
    [[nodiscard]] bool run_without_event() const { return !run_has_event_; }
    /// Returns whether an event with one of the standard fields was accepted, in this or
    /// an earlier run.
    [[nodiscard]] bool has_events() const { return has_events_; }
    /// Returns whether a run after last_id() neither repeats nor omits an event.
    [[nodiscard]] bool resumable() const { return ids_usable_ && last_id_covers_all_; }
    /// Returns the id of the last accepted event that has one; empty before the first.
    [[nodiscard]] std::string const& last_id() const { return last_id_; }

private:
    [[nodiscard]] continuation_fault find_event_fault(event_fields const& event) const;
    /// Records an event that is passed on.
    void note(event_fields const& event);

    std::string last_id_;
    /// Whether each id so far is a number that is greater than those before it and short
    /// enough for a header.
    bool ids_usable_ = true;
    /// Whether no event without an id was accepted after the one with last_id_.
    bool last_id_covers_all_ = true;
    bool has_events_ = false;
    bool resumed_ = false;
    /// Whether the current run has sent an event.
    bool run_has_event_ = false;
    /// Whether the current run has sent an event with an id.
    bool run_has_id_ = false;
};

} // namespace carawayturn::entry
