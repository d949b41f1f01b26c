#ifndef BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_
#define BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace banyanknot::standins {

/// \brief Tells from which failure domain a connection comes.
///
/// Thread-safe.
class SourceLocator {
 public:
  virtual ~SourceLocator() = default;

  /// \param port the connection's port on the connecting side
  /// \returns the failure domain; empty if it is not known
  virtual std::string DomainOf(std::uint16_t port) = 0;
};

/// \brief Knows no sources; for routes that are labelled themselves.
class NoSourceLocator : public SourceLocator {
 public:
  std::string DomainOf(std::uint16_t /*port*/) override { return ""; }
};

/// \brief Finds sources by the sockets that known processes hold.
class ProcessSourceLocator : public SourceLocator {
 public:
  /// \brief Names the failure domain of a process.
  void SetProcess(pid_t pid, const std::string& domain);
  std::string DomainOf(std::uint16_t port) override;

 private:
  std::mutex mutex;
  std::map<pid_t, std::string> domains;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_
