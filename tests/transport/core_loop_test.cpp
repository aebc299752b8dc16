#include "transport_fakes.hpp"

#include "transport/core_loop.hpp"
#include "transport/event_log.hpp"
#include "transport/event_stream.hpp"

#include <gtest/gtest.h>

#include <future>
#include <sstream>

namespace carawayturn
{
namespace
{

class core_loop_test : public testing::Test
{
protected:
    ~core_loop_test() override { loop_.stop(); }

    void start() { loop_.start(std::make_unique<scripted_core>(script_), sink_); }

    std::shared_ptr<core_script> script_ = std::make_shared<core_script>();
    no_actions sink_;
    core_loop loop_{8};
};

// Guards against callers that fill the ring and keep out the events of accepted work.
TEST_F(core_loop_test, full_ring_refuses_offers_and_keeps_room_for_deliveries)
{
    for (int count = 0; count < 6; ++count)
        EXPECT_TRUE(loop_.offer(request_arrived{}));
    EXPECT_FALSE(loop_.offer(request_arrived{}));
    loop_.deliver(caller_gone{});
    EXPECT_EQ(loop_.waiting(), 7U);
}

TEST_F(core_loop_test, delivery_to_full_ring_arrives_once_there_is_room)
{
    for (int count = 0; count < 8; ++count)
        loop_.deliver(request_arrived{});
    auto waiting =
        std::async(std::launch::async, [this] { loop_.deliver(caller_gone{}); });
    start();
    waiting.get();
    script_->wait_for<caller_gone>();
    EXPECT_EQ(script_->count<request_arrived>(), 8U);
}

TEST_F(core_loop_test, idle_loop_ticks)
{
    start();
    script_->wait_for<tick>(2);
    EXPECT_GE(script_->count<tick>(), 2U);
}

TEST_F(core_loop_test, stopped_loop_refuses_events_and_questions)
{
    start();
    loop_.stop();
    EXPECT_FALSE(loop_.offer(tick{}));
    EXPECT_FALSE(loop_.ask([](core_driver const&, time_point) {}));
}

// Guards against half an event, or one event as two, in a resumed stream.
TEST(event_splitter_test, events_cut_anywhere_come_out_whole)
{
    std::string const text = "data: a\n\ndata: b\r\ndata: c\r\n\r\n: note\n\ndata: d";
    for (std::size_t cut = 0; cut <= text.size(); ++cut)
    {
        event_splitter splitter;
        std::vector<std::string> events;
        for (auto const& part : {text.substr(0, cut), text.substr(cut)})
        {
            splitter.add(part);
            while (auto next = splitter.next())
                events.push_back(event_data(*next));
        }
        EXPECT_EQ(events, (std::vector<std::string>{"a", "b\nc", ""})) << cut;
        EXPECT_EQ(splitter.pending(), std::string("data: d").size());
    }
}

TEST(event_log_test, event_is_one_json_line_of_the_catalogue)
{
    std::ostringstream out;
    event_log log("entry-1", log_level::info, out);
    log.write(log_number::process_started, "a \"quoted\"\nsubject", "detail");
    auto const text = out.str();
    EXPECT_NE(text.find(R"("number":801,"name":"process_started","level":"info",)"
                        R"("subject":"a \"quoted\"\nsubject","detail":"detail",)"
                        R"("instance":"entry-1"})"),
              std::string::npos)
        << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
}

} // namespace
} // namespace carawayturn
