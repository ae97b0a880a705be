package gateway

import (
	"bytes"
	"encoding/json"
	"strings"

	"quartzshelf.dev/common/reason"
)

// completionRequest holds the fields of an OpenAI API completion request that the gateway reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in the API.
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// chatMessage is one message of a chat. Its content is a string or a list of parts. An assistant
// message may have no content.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// routingPrompt returns the messages or the prompt of the request. Routing uses their prefix to
// find replicas that are likely to have it cached.
func (r completionRequest) routingPrompt() string {
	if len(r.Messages) > 0 {
		return string(r.Messages)
	}
	return string(r.Prompt)
}

// parseCompletion decodes the body of a completion request and checks that it names a model.
func parseCompletion(body []byte) (completionRequest, *refusal) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, refuse(reason.BadRequest, "the body is not valid: %v", err)
	}
	if r.Model == "" {
		return r, refuse(reason.BadRequest, "the field model is missing")
	}
	return r, nil
}

// validate returns a refusal if no engine could answer the request. A chat request needs messages,
// and any other request needs a prompt. Limits on the number of tokens must be positive.
func (r completionRequest) validate(chat bool) *refusal {
	for name, limit := range map[string]*int{"max_tokens": r.MaxTokens, "max_completion_tokens": r.MaxCompletionTokens} {
		if limit != nil && *limit < 1 {
			return refuse(reason.BadRequest, "%s is %d, which is not above 0", name, *limit)
		}
	}
	if chat {
		return validateMessages(r.Messages)
	}
	return validatePrompt(r.Prompt)
}

func validateMessages(raw json.RawMessage) *refusal {
	if len(raw) == 0 {
		return refuse(reason.BadRequest, "the field messages is missing")
	}
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return refuse(reason.BadRequest, "messages is not a list of messages: %v", err)
	}
	if len(messages) == 0 {
		return refuse(reason.BadRequest, "messages is empty")
	}
	for i, m := range messages {
		if m.Role == "" {
			return refuse(reason.BadRequest, "messages[%d] has no role", i)
		}
		if !startsWithAny(m.Content, `"[n`) && !(len(m.Content) == 0 && m.Role == "assistant") {
			return refuse(reason.BadRequest, "messages[%d].content is neither a text nor a list of parts", i)
		}
	}
	return nil
}

func validatePrompt(raw json.RawMessage) *refusal {
	if !startsWithAny(raw, `"[`) {
		return refuse(reason.BadRequest, "prompt is neither a text nor a list")
	}
	return nil
}

// startsWithAny reports whether raw starts with one of the characters, ignoring leading white
// space. The first character of a JSON value determines its type.
func startsWithAny(raw json.RawMessage, characters string) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) > 0 && strings.IndexByte(characters, trimmed[0]) >= 0
}
