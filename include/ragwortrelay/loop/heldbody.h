#pragma once

#include <ragwortrelay/loop/callerbudget.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace RagwortRelay::Loop {

/// Body of a request. The connection of its caller accounts for it; when that has let go of it while an attempt goes on, it accounts for itself in the budget
/// until its memory is freed. Not thread-safe.
class HeldBody
{
public:
    /// @param arrivedAt time at which the body was complete; the longer ago, the earlier the budget releases it
    HeldBody(std::string bytes, std::shared_ptr<CallerBudget> budget, std::string address, TimePoint arrivedAt);
    ~HeldBody();
    HeldBody(const HeldBody &) = delete;
    HeldBody &operator=(const HeldBody &) = delete;

    /// Returns the bytes, which keep the whole body alive.
    static std::shared_ptr<const std::string> bytesOf(const std::shared_ptr<HeldBody> &body);

    /// Adds a function that ends an attempt that uses the body. It is called after the end of that attempt, too. Without one the budget can't free the body.
    void addRelease(std::function<void()> release);

    /// Lets go of the body for its caller's connection. From now on it accounts for itself if anyone else holds it.
    static void letGo(std::shared_ptr<HeldBody> body);

private:
    void release();

    std::string m_bytes;
    std::shared_ptr<CallerBudget> m_budget;
    std::string m_address;
    TimePoint m_arrivedAt;
    std::vector<std::function<void()>> m_releases; ///< One for each attempt: a retry or a hedge may use the body beside an earlier attempt.
    CallerBudget::Id m_id = 0; ///< 0 while a caller's connection accounts for the body.
};

}
