#pragma once

#include <memory>
#include <mutex>
#include <string>

namespace Configuration
{
struct configuration_document;
}

/// The configuration in force on this daemon. Its number only ever increases.
class active_configuration
{
public:
    active_configuration();
    ~active_configuration();

    /// Returns the document in force, with number 0 before the first. It is shared, since running queries keep the
    /// document that they started with.
    std::shared_ptr<const Configuration::configuration_document> current() const;
    /// Returns the text of the document in force, empty before the first.
    std::string text() const;
    /// Puts a document in force if its number is higher than the current one; returns whether it did.
    bool adopt(std::shared_ptr<const Configuration::configuration_document> document, std::string text);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration::configuration_document> m_document; ///< Guarded by m_mutex.
    std::string m_text; ///< Guarded by m_mutex.
};
