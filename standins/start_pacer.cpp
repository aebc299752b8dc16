#include "start_pacer.hpp"

#include <algorithm>
#include <thread>

namespace carawayturn::standins
{

start_pacer::start_pacer(double starts_per_second)
{
    if (starts_per_second > 0)
        spacing_ = std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(1.0 / starts_per_second));
}

void start_pacer::wait()
{
    clock::time_point turn;
    {
        std::lock_guard const lock(mutex_);
        turn = std::max(next_, clock::now());
        next_ = turn + spacing_;
    }
    std::this_thread::sleep_until(turn);
}

} // namespace carawayturn::standins
