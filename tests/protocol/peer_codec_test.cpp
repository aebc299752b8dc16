#include "protocol/peer_codec.hpp"

#include "state/hash.hpp"

#include <gtest/gtest.h>

namespace carawayturn
{
namespace
{

constexpr std::string_view secret = "cluster secret";
constexpr std::size_t code_bytes = 32;

fleet_config sample_config()
{
    fleet_config config;
    config.models[model_id("base")] = {model_id("base"), "2", 1000, 2};
    config.adapters[adapter_id("notes")] = {adapter_id("notes"), model_id("base"), 9};
    config.pools[pool_id("tax")] = {pool_id("tax"), pool_kind::plain, 4, 0.3, 32, {}};
    config.routes.push_back(
        {"/tax", pool_id("tax"), false, true, -4, std::chrono::microseconds(7), 12});
    config.organisations[organisation_id("acme")] = {
        organisation_id("acme"), 0.1, 1000, {"*"}, {"tax"}, {digest("ab"), digest("cd")}};
    return config;
}

/// One message of each type with every field set.
std::vector<peer_message> sample_messages()
{
    member_entry const member{instance_id("entry-1"),
                              9,
                              2,
                              true,
                              77,
                              instance_state::draining,
                              {"127.0.0.1", 4000},
                              failure_domain_id("a"),
                              duration(12),
                              5};
    loaded_item const item{model_id("base"), adapter_id("notes"), "2", 500};
    lend_entry const lent{organisation_id("acme"), 1, 2, 3, -4, 5, 6, 7};
    config_reply reply{4, 8, duration(15), {}, {sample_config()}};
    reply.changes = {replace_config{sample_config()},
                     grant_key{organisation_id("acme"), digest("ef")},
                     withdraw_key{organisation_id("acme"), digest("ab")},
                     put_adapter{{adapter_id("x"), model_id("base"), 1}},
                     remove_adapter{adapter_id("notes")}};
    return {
        gossip{{member}, {digest("bad")}, {{backend_id("runner-4"), 3}}},
        config_query{4, 7},
        reply,
        demand_report{pool_id("chat"),
                      2,
                      3,
                      {{model_id("base"), adapter_id("notes"), 4, duration(5),
                        duration(6), 7, organisation_id("acme")}}},
        placement_update{pool_id("chat"),
                         1,
                         2,
                         {{backend_id("runner-4"), item}},
                         {{item, duration(30)}}},
        lend_query{1, 2, {organisation_id("acme")}},
        lend_reply{1, 2, {lent}},
        budget_ask{1, 2, lent},
        budget_grant{1, 2, organisation_id("acme"), 3, 4, 5, 6, duration(7), duration(8)},
        poison_notice{digest("bad"), 2}};
}

class peer_codec_test : public testing::Test
{
protected:
    static std::string encode(peer_message const& message)
    {
        return encode_peer(secret, instance_id("entry-1"), message);
    }

    /// Replaces the authentication code after the content was altered.
    static std::string sign(std::string content)
    {
        return content + hmac_sha256(secret, content);
    }

    static std::string content_of(std::string const& bytes)
    {
        return bytes.substr(0, bytes.size() - code_bytes);
    }

    static void expect_refused(std::string const& bytes, error_code code)
    {
        auto const outcome = decode_peer(secret, bytes);
        ASSERT_FALSE(succeeded(outcome));
        EXPECT_EQ(std::get<error>(outcome).code, code);
    }
};

// A reader and a writer that disagree on a type's layout do not give the same bytes.
TEST_F(peer_codec_test, decode_every_type_encodes_to_same_bytes)
{
    auto const messages = sample_messages();
    ASSERT_EQ(messages.size(), std::variant_size_v<peer_message>);
    for (auto const& message : messages)
    {
        auto const bytes = encode(message);
        auto const outcome = decode_peer(secret, bytes);
        ASSERT_TRUE(succeeded(outcome)) << message.index();
        auto const& envelope = std::get<0>(outcome);
        EXPECT_EQ(envelope.from, instance_id("entry-1"));
        EXPECT_EQ(envelope.message.index(), message.index());
        EXPECT_EQ(encode(envelope.message), bytes);
    }
}

TEST_F(peer_codec_test, decode_config_reply_keeps_config_and_changes)
{
    auto const messages = sample_messages();
    auto const& sent = std::get<config_reply>(messages[2]);
    auto const outcome = decode_peer(secret, encode(sent));
    ASSERT_TRUE(succeeded(outcome));
    auto const& got = std::get<config_reply>(std::get<0>(outcome).message);
    EXPECT_EQ(got.changes, sent.changes);
    EXPECT_EQ(got.whole_copy, sent.whole_copy);
    EXPECT_EQ(got.confirmed_age, sent.confirmed_age);
}

TEST_F(peer_codec_test, decode_other_secret_is_refused)
{
    auto const bytes = encode_peer("other", instance_id("entry-1"), config_query{1, 2});
    expect_refused(bytes, error_code::permission_denied);
}

TEST_F(peer_codec_test, decode_any_flipped_byte_is_refused)
{
    auto const bytes = encode(config_query{1, 2});
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        auto altered = bytes;
        altered[at] = static_cast<char>(altered[at] ^ 1);
        expect_refused(altered, error_code::permission_denied);
    }
}

// A peer with the secret but a fault must not bring this instance down.
TEST_F(peer_codec_test, decode_any_signed_truncation_is_refused)
{
    for (auto const& message : sample_messages())
    {
        auto const content = content_of(encode(message));
        for (std::size_t size = 0; size < content.size(); ++size)
            expect_refused(sign(content.substr(0, size)), error_code::protocol_violation);
        expect_refused(sign(content + '\0'), error_code::protocol_violation);
    }
}

TEST_F(peer_codec_test, decode_length_beyond_message_is_refused)
{
    auto content = content_of(encode(lend_query{1, 2, {}}));
    content.replace(content.size() - 4, 4, "\xff\xff\xff\xff");
    expect_refused(sign(content), error_code::protocol_violation);
}

TEST_F(peer_codec_test, decode_invalid_bool_and_enumerator_is_refused)
{
    auto const messages = sample_messages();
    auto const content = content_of(encode(messages[0]));
    // Sender: 1 + 1 + (4 + 7); type: 1; count: 4; member: id 4 + 7, incarnation 8,
    // slot 4.
    std::size_t const has_slot = 13 + 1 + 4 + 11 + 8 + 4;
    std::size_t const state = has_slot + 1 + 8;
    for (std::size_t const at : {has_slot, state})
    {
        auto altered = content;
        altered.at(at) = 9;
        expect_refused(sign(altered), error_code::protocol_violation);
    }
}

TEST_F(peer_codec_test, decode_other_format_version_is_refused)
{
    auto content = content_of(encode(config_query{1, 2}));
    content.front() = 2;
    expect_refused(sign(content), error_code::protocol_violation);
}

TEST_F(peer_codec_test, decode_oversized_message_is_refused)
{
    expect_refused(std::string(max_peer_message_bytes + 1, 'x'),
                   error_code::protocol_violation);
}

} // namespace
} // namespace carawayturn
