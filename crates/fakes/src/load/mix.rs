//! The mix of requests of a deployment.

use std::time::Duration;

use config::Config;

/// The mix of requests of a deployment.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The accounts that send requests.
    pub accounts: Vec<AccountMix>,
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Output tokens per second of all engines together when they run at their limits.
    pub tokens_per_s: f64,
}

/// A client account; its share of the load is proportional to its rate.
#[derive(Clone, Debug)]
pub struct AccountMix {
    /// The account's name.
    pub name: String,
    /// Its rate, in requests per second.
    pub rate: f64,
    /// Its burst, in requests.
    pub burst: u32,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The class that is sent in the header `x-class`.
    pub class: String,
    /// The class's target for the time to first byte.
    pub target: Duration,
    /// The HTTP method, `GET` or `POST`.
    pub method: String,
    /// The path of the route to which the requests are sent.
    pub path: String,
    /// The model; `None` for a plain service.
    pub model: Option<String>,
    /// The kind's share of the load, relative to the other weights.
    pub weight: f64,
    /// The length of responses, in tokens; [`OutputLength::ONE`] for a plain service.
    pub length: OutputLength,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// A log-normal distribution of output lengths.
#[derive(Clone, Copy, Debug)]
pub struct OutputLength {
    /// The median, in tokens.
    pub median: f64,
    /// The standard deviation of the natural logarithm.
    pub sigma: f64,
    /// Upper bound to which longer outputs are cut, in tokens.
    pub max: u32,
}

impl OutputLength {
    /// Always one token.
    pub const ONE: Self = Self { median: 1.0, sigma: 0.0, max: 1 };

    /// Returns the mean of the distribution, ignoring the upper bound.
    fn mean(self) -> f64 {
        self.median * (self.sigma * self.sigma / 2.0).exp()
    }
}

impl Mix {
    /// The mix of [`crate::FleetBuilder::alfombras`].
    pub fn alfombras(config: &Config, tokens_per_s: f64) -> Self {
        let mix = Self::new(config, tokens_per_s);
        let model = "asistente";
        mix.model("live-replies", model, 0.35, 30.0, true)
            .model("summaries", model, 0.15, 50.0, true)
            .model("drafts", model, 0.20, 60.0, false)
            .plain("ledger", "GET", "/ledger/balance", 0.2)
            .plain("ledger", "POST", "/ledger/promise", 0.07)
            .plain("ledger", "POST", "/ledger/reversal", 0.03)
    }

    /// The mix of [`crate::FleetBuilder::adwoa`].
    pub fn adwoa(config: &Config, tokens_per_s: f64) -> Self {
        let mix = Self::new(config, tokens_per_s);
        let model = "recipes";
        mix.model("live-cook-steps", model, 0.4, 25.0, true)
            .model("dish-rescale", model, 0.2, 40.0, true)
            .model("menu-rescale", model, 0.1, 100.0, false)
            .plain("stock-lookups", "GET", "/stock/level", 0.2)
            .plain("stock-orders", "POST", "/stock/order", 0.1)
    }

    /// Returns the requests per second, plain services included, at which all engines run at their
    /// limits.
    pub fn capacity(&self) -> f64 {
        let models = self.kinds.iter().filter(|it| it.model.is_some());
        let tokens: f64 = models.map(|it| it.weight * it.length.mean()).sum();
        let weights: f64 = self.kinds.iter().map(|it| it.weight).sum();
        self.tokens_per_s * weights / tokens
    }

    fn new(config: &Config, tokens_per_s: f64) -> Self {
        let account = |it: &config::Account| AccountMix {
            name: it.name.clone(),
            rate: it.rate,
            burst: it.burst,
        };
        let accounts = config.accounts.iter().map(account).collect();
        let kinds = config.classes.iter().map(|it| RequestKind {
            class: it.name.clone(),
            target: Duration::from_millis(it.target_ms),
            method: String::new(),
            path: String::new(),
            model: None,
            weight: 0.0,
            length: OutputLength::ONE,
            stream: false,
        });
        Self { accounts, kinds: kinds.collect(), tokens_per_s }
    }

    fn model(self, class: &str, model: &str, weight: f64, median: f64, stream: bool) -> Self {
        self.kind(class, |kind| {
            kind.method = "POST".to_owned();
            kind.path = "/v1/chat/completions".to_owned();
            kind.model = Some(model.to_owned());
            kind.weight = weight;
            kind.length = OutputLength { median, sigma: 0.8, max: 400 };
            kind.stream = stream;
        })
    }

    fn plain(self, class: &str, method: &str, path: &str, weight: f64) -> Self {
        self.kind(class, |kind| {
            kind.method = method.to_owned();
            kind.path = path.to_owned();
            kind.weight = weight;
        })
    }

    /// Adds a kind with the class's target; does nothing if there is no such class.
    fn kind(mut self, class: &str, set: impl FnOnce(&mut RequestKind)) -> Self {
        let template = self.kinds.iter().find(|it| it.class == class).cloned();
        self.kinds.extend(template.map(|mut kind| {
            set(&mut kind);
            kind
        }));
        self
    }
}
