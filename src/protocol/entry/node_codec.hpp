#pragma once

#include "state/entry/node_message.hpp"
#include "state/result.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carawayturn::entry
{

/// Size limit of a message between instances, in bytes.
inline constexpr std::size_t max_node_message = std::size_t{4} << 20U;

[[nodiscard]] std::string encode(node_status const& message);
[[nodiscard]] std::string encode(node_update const& message);

/// An encoded update: its own bytes, followed by parts that it shares with other updates.
struct encoded_update
{
    std::string head;
    std::vector<std::shared_ptr<std::string const>> parts;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::string str() const;
};

/// Encodes updates to many instances. Each change of a backend server goes to all
/// instances, so a part of the directory that several updates contain is encoded once and
/// all messages share its bytes.
class update_encoder
{
public:
    [[nodiscard]] encoded_update encode(node_update const& update);
    /// Returns the number of directory parts that were encoded rather than reused.
    [[nodiscard]] std::size_t parts_encoded() const { return parts_encoded_; }
    [[nodiscard]] std::size_t loads_encoded() const { return loads_encoded_; }

private:
    [[nodiscard]] std::shared_ptr<std::string const>
    encode_part(std::shared_ptr<directory_part const> const& part);

    std::map<std::shared_ptr<directory_part const>, std::shared_ptr<std::string const>>
        parts_;
    std::size_t parts_encoded_ = 0;
    /// The last encoded loads and their bytes.
    std::shared_ptr<fleet_loads const> loads_;
    std::shared_ptr<std::string const> loads_bytes_;
    std::size_t loads_encoded_ = 0;
};

/// Errors: protocol_violation if the bytes are not a valid message of that type.
[[nodiscard]] result<node_status> decode_status(std::string_view bytes);
[[nodiscard]] result<node_update> decode_update(std::string_view bytes);

} // namespace carawayturn::entry
