#include "transport/entry/decision_log.hpp"

#include "state/log_catalogue.hpp"
#include "transport/spdlog_level.hpp"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace carawayturn::entry
{

namespace
{

/// Limit of the buffer for lines that are not yet written to standard output.
constexpr std::size_t max_buffered_bytes = std::size_t{128} << 10U;

/// Buffers formatted lines until standard output accepts them.
class buffered_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    void write_pending()
    {
        std::size_t written = 0;
        while (written < buffer_.size() && output_ready())
        {
            // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
            auto const size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
            auto const accepted = ::write(STDOUT_FILENO, buffer_.data() + written, size);
            if (accepted <= 0)
                break;
            written += static_cast<std::size_t>(accepted);
        }
        buffer_.erase(0, written);
    }

    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

protected:
    void sink_it_(spdlog::details::log_msg const& message) override
    {
        if (buffer_.size() + message.payload.size() + 1 > max_buffered_bytes)
        {
            ++dropped_;
            return;
        }
        buffer_.append(message.payload.data(), message.payload.size());
        buffer_ += '\n';
    }
    void flush_() override { write_pending(); }

private:
    static bool output_ready()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    std::string buffer_;
    std::uint64_t dropped_ = 0;
};

/// Appends the text as a JSON string. Control characters are replaced by spaces.
void append_json_string(std::string& line, std::string_view text)
{
    line += '"';
    for (char const c : text)
    {
        if (c == '"' || c == '\\')
            line += '\\';
        line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    line += '"';
}

struct append_json_value
{
    std::string& line;
    void operator()(std::string_view text) const { append_json_string(line, text); }
    void operator()(std::int64_t number) const { line += std::to_string(number); }
    void operator()(std::uint64_t number) const { line += std::to_string(number); }
    /// The fraction is not logged.
    void operator()(double number) const
    {
        line += std::to_string(static_cast<std::int64_t>(number));
    }
};

std::int64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

struct decision_log::state
{
    explicit state(std::string name)
        : instance(std::move(name)), sink(std::make_shared<buffered_sink>()),
          logger("decisions", sink)
    {
        logger.set_level(spdlog::level::info);
    }

    std::string instance;
    std::shared_ptr<buffered_sink> sink;
    spdlog::logger logger;
};

decision_log::decision_log(std::string instance)
    : state_(std::make_unique<state>(std::move(instance)))
{
}

decision_log::~decision_log() = default;

void decision_log::write(entry_event event, std::initializer_list<log_field> fields)
{
    auto const number = static_cast<std::uint16_t>(event);
    auto const* const definition = find_log_event(number);
    if (definition == nullptr)
        return;
    std::string line = "{\"time_ms\":" + std::to_string(unix_ms());
    line += ",\"number\":" + std::to_string(number) + ",\"event\":";
    append_json_string(line, definition->name);
    line += ",\"level\":";
    append_json_string(line, name_of(definition->level));
    line += ",\"instance\":";
    append_json_string(line, state_->instance);
    for (auto const& field : fields)
    {
        line += ',';
        append_json_string(line, field.name);
        line += ':';
        std::visit(append_json_value{line}, field.value);
    }
    line += '}';
    state_->logger.log(spdlog_level(definition->level), spdlog::string_view_t(line));
}

void decision_log::flush()
{
    state_->logger.flush();
}

std::uint64_t decision_log::dropped() const
{
    return state_->sink->dropped();
}

} // namespace carawayturn::entry
