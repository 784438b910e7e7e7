#pragma once

#include <memory>
#include <mutex>
#include <string>

namespace Configuration
{
struct configuration_document;
}

/// The configuration that this daemon has in force. It only ever moves to higher numbers.
class active_configuration
{
public:
    active_configuration();
    ~active_configuration();

    /// Returns the document in force, with number 0 before the first. Shared, since running queries keep theirs.
    std::shared_ptr<const Configuration::configuration_document> current() const;
    /// Returns the text of the document in force, empty before the first.
    std::string text() const;
    /// Adopts a document if its number is higher than the current one; returns whether it was adopted.
    bool adopt(std::shared_ptr<const Configuration::configuration_document> document, std::string text);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration::configuration_document> m_document; ///< Guarded by m_mutex.
    std::string m_text; ///< Guarded by m_mutex.
};
