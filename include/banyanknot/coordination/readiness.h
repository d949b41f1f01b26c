#ifndef BANYANKNOT_COORDINATION_READINESS_H_
#define BANYANKNOT_COORDINATION_READINESS_H_

namespace banyanknot::coordination {

/// \brief Reports whether this host should receive callers.
///
/// Thread-safe.
class Readiness {
 public:
  virtual ~Readiness() = default;
  virtual bool IsReady() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_READINESS_H_
