#pragma once

#include "state/identifiers.hpp"
#include "state/result.hpp"
#include "state/time.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

// Reading and writing of JSON objects field by field. A type's function
// describe(io, value) lists its fields once and serves both directions, so that printing
// and parsing cannot drift apart. For use inside codecs only.

namespace carawayturn
{

/// Thrown by json_reader and caught by the parsing function that started it.
struct json_field_error
{
    error reason;
};

/// The place of a value, put together only when an error needs it.
struct json_place
{
    std::string_view parent;
    std::string_view field;

    [[nodiscard]] std::string str() const;
    [[noreturn]] void fail(std::string detail) const;
};

enum class unknown_fields
{
    refuse,
    ignore
};

/// A value as describe() sees it: writable for a reader, constant for a writer.
template <class Io, class T>
using described = std::conditional_t<Io::reading, T&, T const&>;

/// Reads an object's fields; throws json_field_error at the first fault.
class json_reader
{
public:
    static constexpr bool reading = true;

    json_reader(boost::json::value const& source, std::string path,
                unknown_fields policy);

    template <class T>
    void required(std::string_view field, T& target)
    {
        auto const* const found = find(field);
        if (found == nullptr)
            place(field).fail("is missing");
        read(*found, place(field), target);
    }

    /// Leaves the target as it is when the field is absent.
    template <class T>
    void optional(std::string_view field, T& target)
    {
        if (auto const* const found = find(field))
            read(*found, place(field), target);
    }

    /// An enumeration given by its name in a table ordered like its values.
    template <class Enum>
    void choice(std::string_view field, Enum& target,
                std::span<std::string_view const> names)
    {
        if (auto const* const found = find(field))
            target = static_cast<Enum>(index_of(*found, place(field), names));
    }

    /// A duration in milliseconds; up to a thousandth is kept.
    void milliseconds(std::string_view field, duration& target);

    /// A list of objects that are kept in a map by their "id".
    template <class Id, class T>
    void keyed_list(std::string_view field, std::map<Id, T>& target)
    {
        auto const* const found = find(field);
        if (found == nullptr)
            return;
        target.clear();
        for_each_element(*found, place(field),
                         [&](boost::json::value const& element, json_place const& at)
                         {
                             T value;
                             read(element, at, value);
                             Id const id = value.id;
                             if (!target.emplace(id, std::move(value)).second)
                                 json_place{at.str(), "id"}.fail("is repeated");
                         });
    }

    /// Refuses fields that were not asked for, if the policy says so.
    void finish() const;

private:
    using value_type = boost::json::value;

    [[nodiscard]] value_type const* find(std::string_view field);
    [[nodiscard]] json_place place(std::string_view field) const
    {
        return {path_, field};
    }

    static std::size_t index_of(value_type const& source, json_place const& at,
                                std::span<std::string_view const> names);
    /// Calls the function for each element with a place that ends in "[id]" or "[index]".
    template <class Function>
    static void for_each_element(value_type const& source, json_place const& at,
                                 Function const& function)
    {
        auto const* const list = source.if_array();
        if (list == nullptr)
            at.fail("must be a list");
        std::string const parent = at.str();
        for (std::size_t index = 0; index < list->size(); ++index)
        {
            std::string const label =
                parent + "[" + element_name((*list)[index], index) + "]";
            function((*list)[index], json_place{"", label});
        }
    }
    static std::string element_name(value_type const& element, std::size_t index);

    void read(value_type const& source, json_place const& at, std::string& target) const;
    void read(value_type const& source, json_place const& at, bool& target) const;
    void read(value_type const& source, json_place const& at, double& target) const;

    template <std::integral T>
    void read(value_type const& source, json_place const& at, T& target) const
    {
        boost::system::error_code failure;
        // Only whole numbers: to_number would convert 1.0 as well.
        if (source.is_int64() || source.is_uint64())
            target = source.to_number<T>(failure);
        else
            at.fail("must be a whole number");
        if (failure)
            at.fail("is out of range");
    }
    template <class Tag>
    void read(value_type const& source, json_place const& at, name<Tag>& target) const
    {
        std::string text;
        read(source, at, text);
        target = name<Tag>(std::move(text));
    }
    template <class T>
    void read(value_type const& source, json_place const& at,
              std::optional<T>& target) const
    {
        if (source.is_null())
            target.reset();
        else
            read(source, at, target.emplace());
    }
    template <class T>
    void read(value_type const& source, json_place const& at,
              std::vector<T>& target) const
    {
        target.clear();
        for_each_element(source, at,
                         [&](value_type const& element, json_place const& inside)
                         { read(element, inside, target.emplace_back()); });
    }
    template <class T>
    void read(value_type const& source, json_place const& at, std::set<T>& target) const
    {
        target.clear();
        for_each_element(source, at,
                         [&](value_type const& element, json_place const& inside)
                         {
                             T value;
                             read(element, inside, value);
                             if (!target.insert(std::move(value)).second)
                                 inside.fail("is repeated");
                         });
    }
    template <class T>
    requires std::is_class_v<T>
    void read(value_type const& source, json_place const& at, T& target) const
    {
        json_reader fields(source, at.str(), policy_);
        describe(fields, target);
        fields.finish();
    }

    boost::json::object const* object_ = nullptr;
    std::string path_;
    unknown_fields policy_;
    std::set<std::string_view> asked_;
};

/// Writes an object's fields in the order in which describe() lists them.
class json_writer
{
public:
    static constexpr bool reading = false;

    template <class T>
    void required(std::string_view field, T const& value)
    {
        object_.emplace(field, write(value));
    }
    template <class T>
    void optional(std::string_view field, T const& value)
    {
        required(field, value);
    }
    template <class Enum>
    void choice(std::string_view field, Enum value,
                std::span<std::string_view const> names)
    {
        object_.emplace(field, names[static_cast<std::size_t>(value)]);
    }
    void milliseconds(std::string_view field, duration value);
    template <class Id, class T>
    void keyed_list(std::string_view field, std::map<Id, T> const& values)
    {
        boost::json::array list;
        list.reserve(values.size());
        for (auto const& [id, value] : values)
            list.push_back(write(value));
        object_.emplace(field, std::move(list));
    }

    [[nodiscard]] boost::json::object release() { return std::move(object_); }

private:
    template <class T>
    static boost::json::value write(T const& value)
    {
        if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
        {
            return boost::json::value(value);
        }
        else
        {
            json_writer fields;
            describe(fields, value);
            return fields.release();
        }
    }
    template <class Tag>
    static boost::json::value write(name<Tag> const& value)
    {
        return boost::json::value(value.str());
    }
    template <class T>
    static boost::json::value write(std::optional<T> const& value)
    {
        return value ? write(*value) : boost::json::value(nullptr);
    }
    template <class T>
    static boost::json::value write(std::vector<T> const& values)
    {
        return write_list(values);
    }
    template <class T>
    static boost::json::value write(std::set<T> const& values)
    {
        return write_list(values);
    }
    template <class Values>
    static boost::json::value write_list(Values const& values)
    {
        boost::json::array list;
        list.reserve(values.size());
        for (auto const& value : values)
            list.push_back(write(value));
        return list;
    }

    boost::json::object object_;
};

/// Runs a function that reads fields; returns the error that it threw, if any.
template <class Function>
[[nodiscard]] std::optional<error> read_fields(Function&& function)
{
    try
    {
        function();
        return std::nullopt;
    }
    catch (json_field_error const& failure)
    {
        return failure.reason;
    }
}

} // namespace carawayturn
