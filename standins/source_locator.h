#ifndef BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_
#define BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_

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

  /// \param address IP number of the connecting side
  /// \returns the failure domain; empty if it is not known
  virtual std::string DomainOf(const std::string& address) = 0;
};

/// \brief Knows no sources; for routes that are labelled themselves.
class NoSourceLocator : public SourceLocator {
 public:
  std::string DomainOf(const std::string& /*address*/) override { return ""; }
};

/// \brief Gives each failure domain an address to connect from.
class AddressSourceLocator : public SourceLocator {
 public:
  /// \returns the loopback address of a failure domain, always the same
  std::string AddressOf(const std::string& domain);
  std::string DomainOf(const std::string& address) override;

 private:
  std::mutex mutex;
  std::map<std::string, std::string> addresses;  // by failure domain
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_SOURCE_LOCATOR_H_
