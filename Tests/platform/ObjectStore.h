#pragma once

#include "StoreFault.h"
#include "Support/RawServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// A stand-in for the platform's store with lists, watches and conditional writes, and with failures that a test
/// injects.
class object_store
{
public:
    explicit object_store(boost::asio::io_context &loop);

    /// Creates an object or replaces its content, as an operator or a replica would.
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);
    void putText(const std::string &kind, const std::string &name, std::string_view spec);
    void putStatus(const std::string &kind, const std::string &name, const boost::json::value &status);
    void remove(const std::string &kind, const std::string &name);
    /// Returns the object as the store would send it; null if there is none.
    [[nodiscard]] const boost::json::object *find(const std::string &kind, const std::string &name) const;
    /// Drops the history of changes and closes the waiting watches. A watch from an earlier revision then gets status
    /// 410.
    void dropHistory();
    /// Makes a copy of the content. From then on responses state the store's era, which begins at 1.
    void keepCopy();
    /// Replaces the content and the revision by those of the copy, raises the era and closes the waiting watches.
    void restoreCopy();
    void injectFault(store_fault fault);

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::uint16_t port() const;
    /// Returns the number of calls received with `method`, executed or not.
    [[nodiscard]] std::size_t callCount(const std::string &method) const;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::object content;
    };
    using objects_by_kind = std::map<std::string, std::map<std::string, boost::json::object>>;
    struct copy {
        objects_by_kind objects;
        std::uint64_t revision = 0;
        std::size_t historySize = 0;
    };
    struct waiting_watch {
        std::weak_ptr<raw_connection> peer;
        std::string kind;
        std::uint64_t after = 0;
        std::chrono::steady_clock::time_point until;
    };
    struct call {
        std::string method;
        std::string kind;
        std::string name;
        bool isStatus = false; ///< The call addresses the object's status.
        std::map<std::string, std::string> query;
        boost::json::object body;
    };

    void onBytes(raw_connection &peer);
    void reply(raw_connection &peer, int status, const std::string &body) const;
    void resetWatches();
    void execute(raw_connection &peer, const call &request);
    void list(raw_connection &peer, const call &request);
    void watch(raw_connection &peer, const call &request);
    void write(raw_connection &peer, const call &request);
    void recordChange(const std::string &kind, const boost::json::object &object, bool deleted);
    [[nodiscard]] std::string eventsAfter(const std::string &kind, std::uint64_t after) const;
    void answerWatches();
    void tick();
    static call parse(const std::string &text);

    objects_by_kind m_objects;
    copy m_copy;
    unsigned m_era = 0; ///< 0: responses state none.
    std::vector<event> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_historyFrom = 0; ///< Watches from an earlier revision get status 410.
    std::vector<waiting_watch> m_watches;
    std::map<std::string, std::size_t> m_calls;
    store_fault m_fault = store_fault::None;
    boost::asio::steady_timer m_timer;
    raw_server m_server;
};
