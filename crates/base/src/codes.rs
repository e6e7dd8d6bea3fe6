//! Numbered result codes; `docs/CODES.md` lists them for callers and operators.

use std::fmt;

/// Whether a refused request can have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunState {
    /// No backend server executed any part of the request.
    NotRun,
    /// A backend server may have executed the request.
    MayHaveRun,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunState::NotRun => "not run",
            RunState::MayHaveRun => "may have run",
        })
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// Outcome of a request, as sent to callers and counted in metrics.
        ///
        /// Numbers below 2000, except that of success, mean that no backend server ran the
        /// request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// Every code, in numerical order.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name,)*];

            /// Number of the code in answers, logs and metrics.
            pub fn number(self) -> u32 {
                match self { $(ResultCode::$name => $number,)* }
            }

            /// HTTP status of an answer with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Description for people, sent along with the number.
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }
        }
    };
}

result_codes! {
    /// The complete answer was sent.
    Success = 0, 200, "the whole answer was sent";
    /// The request could not be read.
    MalformedRequest = 1001, 400, "the request could not be read";
    /// The body is larger than allowed.
    BodyTooLarge = 1002, 413, "the body is too large";
    /// No customer has the API key that the caller presented.
    UnknownCustomer = 1003, 401, "no customer has this key";
    /// Neither the list of plans nor the list of rights contains the model, adapter or service.
    UnknownModel = 1004, 404, "no list names this model, adapter or service";
    /// The customer's plan does not allow the model, adapter or service.
    NotPermitted = 1005, 403, "the customer's plan does not allow this";
    /// The process has not received the lists of plans and rights yet.
    ListsMissing = 1006, 503, "the lists have not arrived yet";
    /// The queue of the customer or class is full.
    QueueFull = 1007, 429, "the queue is full";
    /// The request cannot be answered before its deadline.
    DeadlineUnmeetable = 1008, 503, "the request cannot be answered in time";
    /// The deadline passed while the request was waiting.
    DeadlinePassed = 1009, 504, "the request waited until its time ran out";
    /// The process is stopping.
    ProcessStopping = 1010, 503, "the process is stopping";
    /// No backend server can take the request.
    NoReplica = 1011, 503, "no backend server can take the request";
    /// The model could not be loaded.
    LoadFailed = 1012, 503, "the model could not be loaded";
    /// The request is quarantined: it has crashed backend servers before.
    RequestQuarantined = 1013, 422, "the request has crashed backend servers before";
    /// The platform's store does not answer.
    StoreUnavailable = 1014, 503, "the platform's store does not answer";
    /// The idempotency key is older than the retention time of keys.
    KeyExpired = 1015, 409, "the idempotency key is too old";
    /// The home region of the customer is unreachable.
    RegionUnreachable = 1016, 503, "the customer's home region is unreachable";
    /// The owner of the model does not answer.
    OwnerUnreachable = 1017, 503, "the owner of the model does not answer";
    /// The caller cancelled the request before it was sent to a backend server.
    CallerCancelled = 1018, 499, "the caller cancelled the request";
    /// The caller did not send the whole body before its deadline.
    BodyTimeout = 1019, 408, "the body did not arrive in time";
    /// The bodies of other requests use the memory of the process.
    OutOfMemory = 1020, 503, "the memory for bodies is used up";
    /// The backend server was lost after the request had been sent to it.
    BackendLost = 2001, 502, "the backend server was lost";
    /// The answer was not complete before its deadline.
    AnswerTimeout = 2002, 504, "the answer did not end in time";
    /// The outcome of claiming the idempotency key is unknown.
    ClaimUncertain = 2003, 503, "the fate of the claim is unknown";
    /// Another request with the same idempotency key was run or is running.
    DuplicateKey = 2004, 409, "a request with this key was run or is running";
    /// The answer ended without its end marker, so it may be incomplete.
    AnswerCut = 2005, 502, "the answer was cut";
    /// The backend server reported a failure.
    BackendFailed = 2006, 502, "the backend server reported a failure";
}

impl ResultCode {
    /// The code with this number; `None` if no code has it.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Whether a request refused with this code can have been executed.
    pub fn run_state(self) -> RunState {
        if self.number() >= 2000 || self == ResultCode::Success {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        }
    }

    /// Whether a later retry is safe and may succeed: the request was not run and its status is
    /// 429, 503 or 504.
    pub fn is_retryable(self) -> bool {
        self.run_state() == RunState::NotRun && matches!(self.http_status(), 429 | 503 | 504)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.number(), self.text())
    }
}
