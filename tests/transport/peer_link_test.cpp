#include "transport_fakes.hpp"

#include "protocol/peer_codec.hpp"
#include "transport/peer_link.hpp"

#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <sstream>

namespace carawayturn
{
namespace
{

class peer_link_test : public testing::Test
{
protected:
    peer_link_test()
    {
        loop_.start(std::make_unique<scripted_core>(script_), sink_);
        port_ = std::get<std::uint16_t>(receiver_.listen());
        receiver_.start();
    }
    ~peer_link_test() override { loop_.stop(); }

    static peer_settings settings(std::string const& id, std::string const& secret)
    {
        peer_settings made;
        made.self = instance_id(id);
        made.cluster_secret = secret;
        return made;
    }

    void send_from(peer_link& sender, peer_message sent) const
    {
        sender.send({instance_id("b"), {"127.0.0.1", port_}, std::move(sent)});
    }

    /// A message that does not fit a datagram.
    static gossip large_gossip()
    {
        gossip large;
        for (int count = 0; count < 5000; ++count)
            large.poisonous.emplace_back(std::string(64, 'a'));
        return large;
    }

    std::ostringstream log_text_;
    event_log log_{"b", log_level::debug, log_text_};
    std::shared_ptr<core_script> script_ = std::make_shared<core_script>();
    no_actions sink_;
    core_loop loop_{64};
    peer_link receiver_{settings("b", "cluster secret one"), loop_, log_};
    std::uint16_t port_ = 0;
};

TEST_F(peer_link_test, small_message_arrives_with_its_sender)
{
    peer_link sender(settings("a", "cluster secret one"), loop_, log_);
    ASSERT_TRUE(succeeded(sender.listen()));
    sender.start();
    send_from(sender, config_query{7, 3});
    auto const received = script_->wait_for<peer_received>();
    EXPECT_EQ(received.from, instance_id("a"));
    EXPECT_EQ(std::get<config_query>(received.message).query, 7U);
}

// Guards against configurations that cannot spread because they exceed a datagram.
TEST_F(peer_link_test, message_larger_than_datagram_arrives_over_tcp)
{
    peer_link sender(settings("a", "cluster secret one"), loop_, log_);
    ASSERT_TRUE(succeeded(sender.listen()));
    sender.start();
    send_from(sender, large_gossip());
    auto const received = script_->wait_for<peer_received>();
    EXPECT_EQ(std::get<gossip>(received.message).poisonous.size(), 5000U);
}

// Guards against messages from outside the cluster. The receiver handles datagrams in
// order, so the second one's arrival shows that the first was dropped.
TEST_F(peer_link_test, message_under_other_secret_is_dropped_and_logged)
{
    boost::asio::io_context context;
    boost::asio::ip::udp::socket stranger(context, boost::asio::ip::udp::v4());
    auto const forged =
        encode_peer("cluster secret two", instance_id("x"), config_query{1, 1});
    stranger.send_to(boost::asio::buffer(forged),
                     {boost::asio::ip::address_v4::loopback(), port_});
    peer_link sender(settings("a", "cluster secret one"), loop_, log_);
    ASSERT_TRUE(succeeded(sender.listen()));
    sender.start();
    send_from(sender, config_query{9, 9});
    script_->wait_for<peer_received>();
    receiver_.stop();
    EXPECT_EQ(script_->wait_for<peer_received>().from, instance_id("a"));
    EXPECT_EQ(script_->count<peer_received>(), 1U);
    EXPECT_NE(log_text_.str().find("peer_message_rejected"), std::string::npos);
}

TEST_F(peer_link_test, tcp_length_beyond_limit_closes_connection)
{
    auto connection = test_connection::to(port_);
    connection.send(std::string("\xff\xff\xff\xff", 4));
    EXPECT_TRUE(connection.read_to_end());
    EXPECT_EQ(script_->count<peer_received>(), 0U);
}

} // namespace
} // namespace carawayturn
