#pragma once

#include <cstdint>

namespace carawayturn::entry
{

/// Bytes that all requests of a process may keep together. Answers the load pattern "many
/// callers send long bodies at once, each inside its own limit".
class byte_budget
{
public:
    explicit byte_budget(std::uint64_t capacity) : capacity_(capacity) {}

    /// Takes the bytes if so many are left.
    [[nodiscard]] bool take(std::uint64_t bytes);
    void release(std::uint64_t bytes) { taken_ -= bytes; }

    [[nodiscard]] std::uint64_t capacity() const { return capacity_; }
    [[nodiscard]] std::uint64_t taken() const { return taken_; }

private:
    std::uint64_t capacity_;
    std::uint64_t taken_ = 0;
};

/// What one request holds of a budget, until it ends.
class byte_reservation
{
public:
    explicit byte_reservation(byte_budget& budget) : budget_(budget) {}
    byte_reservation(byte_reservation const&) = delete;
    byte_reservation& operator=(byte_reservation const&) = delete;
    ~byte_reservation() { budget_.release(held_); }

    /// Holds this many bytes in all, or as many as before if the budget has too few.
    [[nodiscard]] bool grow_to(std::uint64_t bytes);

private:
    byte_budget& budget_;
    std::uint64_t held_ = 0;
};

} // namespace carawayturn::entry
